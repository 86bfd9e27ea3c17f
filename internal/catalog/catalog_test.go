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
	r := New("n3", func(handler loop.Handler) { dialled = append(dialled, handler.(*socket)) })
	now := time.Now()
	conn := &testutil.FakeConn{}
	r.ReportIfDue(now, node.Healthy)
	dialled[0].Opened(conn)
	for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(20 * time.Millisecond) {
		r.ReportIfDue(at, node.Healthy)
	}
	if count := strings.Count(conn.Out, "alive n3 passing"); count < 9 { // enough are left if a quarter is lost
		t.Errorf("%d reports in 3 s", count)
	}
	r.AddressChanged()
	r.ReportIfDue(now.Add(4*time.Second), node.Unhealthy)
	newConn := &testutil.FakeConn{}
	dialled[1].Opened(newConn)
	r.ReportIfDue(now.Add(4*time.Second), node.Unhealthy)
	if !conn.Closed || newConn.Out != "alive n3 critical" {
		t.Errorf("closed %v, wrote %q", conn.Closed, newConn.Out)
	}
}

// While the catalog is down, every report fails and closes its socket. Later reports must still be sent, on new sockets.
func TestSocketWithAnErrorIsReplaced(t *testing.T) {
	var dialled []*socket
	r := New("n3", func(handler loop.Handler) { dialled = append(dialled, handler.(*socket)) })
	now := time.Now()
	for n := range 3 {
		r.ReportIfDue(now, node.Healthy)
		if len(dialled) != n+1 {
			t.Fatalf("dialled %d times after %d errors", len(dialled), n)
		}
		conn := &testutil.FakeConn{}
		dialled[n].Opened(conn)
		r.ReportIfDue(now, node.Healthy)
		if conn.Out != "alive n3 passing" {
			t.Errorf("wrote %q after %d errors", conn.Out, n)
		}
		dialled[n].Closed(&loop.ConnError{Connected: true, Err: errors.New("connection refused")})
		if n > 0 {
			dialled[n-1].Closed(errors.New("second close")) // a replaced socket
		}
		now = now.Add(2 * reportInterval)
	}
}
