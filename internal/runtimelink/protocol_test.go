package runtimelink

import (
	"testing"

	"thymechute/internal/testutil"
)

// The runtime's protocol is fixed: no byte of the lines may change.
func TestCommandsAreEncodedAsInTheProtocol(t *testing.T) {
	for want, sendCommand := range map[string]func(*Link){
		`{"verb":"start","task":"a","handler":"safe","bytes":"eA=="}`: func(l *Link) { l.Start("a", "safe", []byte("x")) },
		`{"verb":"start","task":"a","handler":"safe","bytes":""}`:     func(l *Link) { l.Start("a", "safe", nil) },
		`{"verb":"stop","task":"a"}`:                                  func(l *Link) { l.Stop("a") },
		`{"verb":"give","task":"a","bytes":""}`:                       func(l *Link) { l.DeliverReply("a", nil) },
		`{"verb":"gauges","nonce":"g"}`:                               func(l *Link) { l.RequestGauges() },
		`{"verb":"selftest","nonce":"check1"}`:                        func(l *Link) { l.SelfTest("check1") },
	} {
		l, _, _ := newLink()
		conn := &testutil.FakeConn{}
		open(l, conn)
		sendCommand(l)
		if got := conn.Out; got != `{"verb":"sync","index":0}`+"\n"+want+"\n" {
			t.Errorf("wrote %q, want %q", got, want)
		}
	}
}
