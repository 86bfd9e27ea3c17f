package catalog

import (
	"errors"
	"strings"
	"testing"
	"time"

	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/internal/testutil"
)

func TestReportsAreSentOftenWithinAnEntrysLifetime(t *testing.T) {
	var dialled []*socket
	r := New("n3", func(p loop.Handler) { dialled = append(dialled, p.(*socket)) })
	now := time.Now()
	w := &testutil.FakeConn{}
	r.ReportIfDue(now, node.Healthy)
	dialled[0].Opened(w)
	for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(20 * time.Millisecond) {
		r.ReportIfDue(at, node.Healthy)
	}
	if n := strings.Count(w.Out, "alive n3 passing"); n < 9 { // a quarter may be lost
		t.Errorf("%d reports in 3 s", n)
	}
	r.Move()
	r.ReportIfDue(now.Add(4*time.Second), node.Unhealthy)
	again := &testutil.FakeConn{}
	dialled[1].Opened(again)
	r.ReportIfDue(now.Add(4*time.Second), node.Unhealthy)
	if !w.Closed || again.Out != "alive n3 critical" {
		t.Errorf("closed %v, wrote %q", w.Closed, again.Out)
	}
}

// While the catalog is down each report fails on its own socket: an error does not prevent later reports.
func TestSocketWithAnErrorIsReplaced(t *testing.T) {
	var dialled []*socket
	r := New("n3", func(p loop.Handler) { dialled = append(dialled, p.(*socket)) })
	now := time.Now()
	for n := range 3 {
		r.ReportIfDue(now, node.Healthy)
		if len(dialled) != n+1 {
			t.Fatalf("dialled %d times after %d errors", len(dialled), n)
		}
		w := &testutil.FakeConn{}
		dialled[n].Opened(w)
		r.ReportIfDue(now, node.Healthy)
		if w.Out != "alive n3 passing" {
			t.Errorf("wrote %q after %d errors", w.Out, n)
		}
		dialled[n].Closed(&loop.ConnError{Connected: true, Err: errors.New("connection refused")})
		if n > 0 {
			dialled[n-1].Closed(errors.New("once more")) // a replaced socket
		}
		now = now.Add(2 * reportInterval)
	}
}
