package catalog

import (
	"strings"
	"testing"
	"time"

	"thymechute/internal/aid"
	"thymechute/internal/loop"
)

func TestSeveralReportsGoOutWhileAnEntryLasts(t *testing.T) {
	var dialled []*socket
	r := New("n3", func(p loop.Peer) { dialled = append(dialled, p.(*socket)) })
	now, w := time.Now(), &aid.Wire{}
	r.Sweep(now, true)
	dialled[0].Opened(w)
	for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(20 * time.Millisecond) {
		r.Sweep(at, true)
	}
	if n := strings.Count(w.Out, "alive n3 passing"); n < 9 { // a quarter may be lost
		t.Errorf("%d reports in 3 s", n)
	}
	r.Move()
	r.Sweep(now.Add(4*time.Second), false)
	again := &aid.Wire{}
	dialled[1].Opened(again)
	if r.Sweep(now.Add(4*time.Second), false); !w.Closed || again.Out != "alive n3 critical" {
		t.Errorf("closed %v, wrote %q", w.Closed, again.Out)
	}
}
