package rpc

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/internal/testutil"
)

type fakeAdmission struct{ admitted, callersGone int }

func (a *fakeAdmission) HasClass(class string) bool { return class == "excursion" }
func (a *fakeAdmission) Admit(node.Responder, node.MessageID, node.Request) error {
	a.admitted++
	return nil
}
func (a *fakeAdmission) CallerGone(node.Responder)                                         { a.callersGone++ }
func (a *fakeAdmission) CheckHealth(node.Responder, node.MessageID, node.HealthCheckDepth) {}

// newTestServer allows one spare connection.
func newTestServer(admission Admission, maxConns int) *Server {
	return NewServer(Config{Admission: admission, MaxConns: maxConns, SpareConns: 1, Log: zap.NewNop()})
}

func TestIdleTimeoutDoesNotCloseConnectionsWithPendingRequests(t *testing.T) {
	admission := &fakeAdmission{}
	server := newTestServer(admission, 2)
	busy := &testutil.FakeConn{}
	idle := &testutil.FakeConn{}
	busyConn := server.Accept()
	idleConn := server.Accept()
	busyConn.Opened(busy)
	idleConn.Opened(idle)
	if err := busyConn.Received([]byte(requestLine + "\n")); err != nil || admission.admitted != 1 {
		t.Fatalf("%v, %d admitted", err, admission.admitted)
	}
	server.SetIdleTimeout(time.Second)
	server.Sweep(time.Now().Add(2 * time.Second))
	if idle.Closed || idle.Out != string(closingNotification) || busy.Out != "" {
		t.Errorf("idle closed %v without a grace period after its notification %q; busy was sent %q", idle.Closed, idle.Out, busy.Out)
	}
	server.Sweep(time.Now().Add(3 * time.Second))
	if busy.Closed || !idle.Closed {
		t.Errorf("busy closed %v, idle closed %v", busy.Closed, idle.Closed)
	}
	busyConn.(*conn).Answer("7", node.Answer{})
	server.Sweep(time.Now().Add(4 * time.Second))
	if busy.Closed || !strings.HasSuffix(busy.Out, string(closingNotification)) {
		t.Errorf("closed %v without a notification before: %q", busy.Closed, busy.Out)
	}
	if err := busyConn.Received([]byte(requestLine + "\n")); err != nil || admission.admitted != 2 { // in transit at the notification
		t.Fatalf("%v, %d admitted", err, admission.admitted)
	}
	server.Sweep(time.Now().Add(6 * time.Second))
	if busy.Closed {
		t.Error("closed over a request that was in transit at the notification")
	}
	busyConn.(*conn).Answer("7", node.Answer{})
	server.Sweep(time.Now().Add(8 * time.Second))
	if !busy.Closed {
		t.Error("an answered connection stayed open")
	}
}

// At the limit the least needed connection is notified, and requests that cross the notification are admitted. Only with the
// spare connections in use as well one closes at once, and never one with a pending request.
func TestConnectionLimitNotifiesLeastNeededFirst(t *testing.T) {
	admission := &fakeAdmission{}
	server := newTestServer(admission, 2)
	open := func() (loop.ServerHandler, *testutil.FakeConn) {
		handler := server.Accept()
		transport := &testutil.FakeConn{}
		if handler != nil {
			handler.Opened(transport)
		}
		return handler, transport
	}
	used, first := open()
	_ = used.Received([]byte(requestLine + "\n"))
	used.(*conn).Answer("7", node.Answer{})
	first.Out = ""
	silent, second := open()
	_, third := open()
	if second.Out != string(closingNotification) || second.Closed || first.Out+third.Out != "" {
		t.Errorf("sent %q, closed %v; others were sent %q", second.Out, second.Closed, first.Out+third.Out)
	}
	if err := silent.Received([]byte(requestLine + "\n")); err != nil || admission.admitted != 2 { // in transit at the notification
		t.Fatalf("%v, %d admitted", err, admission.admitted)
	}
	fourth, transport := open() // the spare connection is in use: of those with nothing pending the one without a request closes
	if !third.Closed || second.Closed || first.Closed || fourth == nil || transport.Out != "" {
		t.Errorf("closed %v, %v and %v", first.Closed, second.Closed, third.Closed)
	}
	for handler, id := range map[loop.ServerHandler]string{used: "8", fourth: "8"} {
		if err := handler.Received([]byte(strings.Replace(requestLine, `"id":7`, `"id":`+id, 1) + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if handler, _ := open(); handler != nil {
		t.Error("accepted over the limit with all connections in use")
	}
	silent.(*conn).Answer("7", node.Answer{})
	server.Sweep(time.Now().Add(time.Second))
	if server.notifiedConns != 0 || len(server.conns) != 2 || !second.Closed {
		t.Errorf("%d of %d notified, the first of them closed %v", server.notifiedConns, len(server.conns), second.Closed)
	}
}

func TestStalledConnectionsAreClosed(t *testing.T) {
	server := newTestServer(&fakeAdmission{}, 9)
	now := time.Now()
	for name, input := range map[string]string{
		"silent":               "",
		"partial request":      requestLine[:50],
		"complete and partial": requestLine + "\n" + requestLine[:50],
		"complete":             requestLine + "\n",
	} {
		handler := server.Accept()
		transport := &testutil.FakeConn{}
		handler.Opened(transport)
		if err := handler.Received([]byte(input)); err != nil {
			t.Fatal(err)
		}
		server.nextSweep = time.Time{}
		if transport.Closed {
			t.Errorf("%s: closed at once", name)
		}
		for sweep := range 4 { // single bytes complete no message
			if name != "complete" && name != "silent" {
				_ = handler.Received([]byte(" "))
			}
			server.Sweep(now.Add(requestTimeout*time.Duration(sweep+1)/2 + 10*time.Millisecond))
			server.nextSweep = time.Time{}
			isNotified := strings.HasSuffix(transport.Out, string(closingNotification))
			wantNotified := name != "complete" && sweep > 0
			if isNotified != wantNotified || transport.Closed && sweep < 2 {
				t.Errorf("%s, sweep %d: notified %v, closed %v", name, sweep, isNotified, transport.Closed)
			}
		}
		if transport.Closed != (name != "complete") {
			t.Errorf("%s: closed %v", name, transport.Closed)
		}
	}
}

func TestPendingRequestsPerConnectionAreBounded(t *testing.T) {
	admission := &fakeAdmission{}
	transport := &testutil.FakeConn{}
	handler := newTestServer(admission, 2).Accept()
	handler.Opened(transport)
	for n := range maxPendingRequests + 1 {
		if err := handler.Received([]byte(strings.Replace(requestLine, `"id":7`, fmt.Sprintf(`"id":%d`, n), 1) + "\n")); err != nil {
			t.Fatal(err)
		}
	}
	if admission.admitted != maxPendingRequests || len(transport.Out) == 0 {
		t.Errorf("%d admitted, answered %s", admission.admitted, transport.Out)
	}
	handler.Closed(&loop.ConnError{Connected: true, Err: errors.New("reset")})
	if admission.callersGone != 1 {
		t.Error("CallerGone was not called")
	}
}
