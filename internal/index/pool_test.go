package index

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
	"thymechute/policy"
)

// sink records the results of calls.
type sink struct{ results []string }

func (s *sink) CallReturned(id node.TaskID, result node.CallResult) {
	s.results = append(s.results, fmt.Sprintf("%s %d %s", id, result.Outcome, result.Reply))
}

// newPool returns a pool, its sink and the connections that it dials.
func newPool(maxConns int) (p *Pool, s *sink, dialled *[]*connection) {
	s = &sink{}
	dialled = &[]*connection{}
	return NewPool(s, func(handler loop.Handler) { *dialled = append(*dialled, handler.(*connection)) }, maxConns, zap.NewNop()), s, dialled
}

// open opens the connection that was dialled last.
func open(dialled *[]*connection) (*connection, *testutil.FakeConn) {
	c := (*dialled)[len(*dialled)-1]
	transport := &testutil.FakeConn{}
	c.Opened(transport)
	return c, transport
}

// expectOnly fails the test unless the call's result is all that was recorded.
func expectOnly(t *testing.T, s *sink, id string, outcome policy.Outcome, reply string) {
	t.Helper()
	if len(s.results) != 1 || s.results[0] != fmt.Sprintf("%s %d %s", id, outcome, reply) {
		t.Errorf("got %q, want %s with outcome %d", s.results, id, outcome)
	}
	s.results = nil
}

func TestOutcomeOfLostCallDependsOnItsProgress(t *testing.T) {
	p, s, dialled := newPool(1)
	p.Call("a", time.Second, []byte("x"))
	(*dialled)[0].Closed(&loop.ConnError{Err: errors.New("refused")})
	expectOnly(t, s, "a", policy.ConnectFailed, "")
	p.Call("b", time.Second, []byte("x"))
	c, _ := open(dialled)
	c.Closed(&loop.ConnError{Connected: true, Err: errors.New("reset")})
	expectOnly(t, s, "b", policy.Reset, "")
	p.Call("c", time.Second, []byte("x"))
	p.Call("d", time.Second, []byte("x")) // waits for the only connection
	p.Sweep(time.Now().Add(2 * time.Second))
	if got := strings.Join(s.results, ","); !strings.Contains(got, fmt.Sprintf("c %d", policy.ConnectFailed)) ||
		!strings.Contains(got, fmt.Sprintf("d %d", policy.ConnectFailed)) {
		t.Errorf("got %q", got)
	}
	s.results = nil
	c, transport := open(dialled)
	p.Call("e", time.Second, []byte("x"))
	p.Sweep(time.Now().Add(2 * time.Second))
	expectOnly(t, s, "e", policy.TimedOut, "")
	if !strings.HasSuffix(transport.Out, " 1\r\nx\r\n") || strings.Contains(transport.Out, "GET c") || !transport.Closed {
		t.Errorf("wrote %q, closed %v", transport.Out, transport.Closed)
	}
	c.Closed(&loop.ConnError{Connected: true, Err: errors.New("closed")})
	if len(s.results) != 0 || len(p.conns) != 0 {
		t.Errorf("got %q, %d connections left", s.results, len(p.conns))
	}
}

func TestReplySplitAtAnyByteIsDecoded(t *testing.T) {
	const text = "b SHED\r\na HIT 4\r\n\r\n\r\n\r\na HIT 1\r\nx\r\nc SLOW\r\n"
	for cut := range len(text) {
		p, s, dialled := newPool(1)
		p.Call("a", time.Second, nil)
		c, _ := open(dialled)
		for _, part := range []string{text[:cut], text[cut:]} {
			if err := c.Received([]byte(part)); err != nil {
				t.Fatal(err)
			}
		}
		if got := strings.Join(s.results, ","); got != fmt.Sprintf("a %d \r\n\r\n", policy.OK) {
			t.Errorf("cut at %d: %q", cut, got)
		}
	}
}

// A connection carries only one call of a request, as a repeated reply could be taken for the reply to the next one.
func TestRepeatedReplyIsNotTakenForTheNextCall(t *testing.T) {
	p, s, dialled := newPool(8)
	p.Call("a", time.Second, nil)
	first, _ := open(dialled)
	_ = first.Received([]byte("a HIT 1\r\n1\r\n"))
	expectOnly(t, s, "a", policy.OK, "1")
	p.Call("a", time.Second, nil) // the request's next call, on another connection
	second, _ := open(dialled)
	_ = first.Received([]byte("a HIT 1\r\n1\r\n"))
	if len(s.results) != 0 || second == first {
		t.Errorf("%q was accepted as the reply to the next call", s.results)
	}
	p.Abandon("a")
	p.Call("b", time.Second, nil)
	if first.call == nil || first.call.id != "b" {
		t.Error("a connection that may carry the call is not reused")
	}
}

func TestBrokenConnectionAffectsOnlyItsOwnCall(t *testing.T) {
	p, s, dialled := newPool(8)
	p.Call("a", time.Second, nil)
	brokenConn, _ := open(dialled)
	p.Call("b", time.Second, nil)
	intactConn, _ := open(dialled)
	for _, malformed := range []string{"no reply at all\n", "a HIT 3000000000\r\n", "a HIT -1\r\n",
		strings.Repeat("x", maxStatusLineBytes+1), "a HIT 1\r\nxyz"} {
		if err := brokenConn.Received([]byte(malformed)); err == nil {
			t.Errorf("%.20q was accepted", malformed)
		}
		brokenConn.partialReply = nil
	}
	brokenConn.Closed(&loop.ConnError{Connected: true, Err: errors.New("malformed reply")})
	expectOnly(t, s, "a", policy.Reset, "")
	_ = intactConn.Received([]byte("b HIT 1\r\nx\r\n"))
	expectOnly(t, s, "b", policy.OK, "x")
}

func TestIdleConnectionsAndThoseOfTheFormerAddressAreNotUsed(t *testing.T) {
	p, s, dialled := newPool(8)
	p.Call("a", time.Second, nil)
	idleConn, idleTransport := open(dialled)
	_ = idleConn.Received([]byte("a SHED\r\n"))
	p.Sweep(time.Now().Add(idleTimeout / 2))
	if idleTransport.Closed {
		t.Error("the idle connection is closed before idleTimeout")
	}
	p.Sweep(time.Now().Add(2 * idleTimeout))
	if !idleTransport.Closed {
		t.Error("the idle connection stays open after idleTimeout")
	}
	p.Call("b", time.Second, nil)
	busyConn, busyTransport := open(dialled)
	p.Call("c", time.Second, nil) // being dialled when the address changes
	dialingConn := (*dialled)[len(*dialled)-1]
	p.AddressChanged()
	dialingTransport := &testutil.FakeConn{}
	dialingConn.Opened(dialingTransport)
	newConn, newTransport := open(dialled)
	if !dialingTransport.Closed || dialingTransport.Out != "" || newConn == dialingConn || !strings.HasPrefix(newTransport.Out, "GET c") {
		t.Errorf("former connection: closed %v, wrote %q; new one wrote %q", dialingTransport.Closed, dialingTransport.Out, newTransport.Out)
	}
	s.results = nil
	_ = busyConn.Received([]byte("b HIT 1\r\nx\r\n")) // a call in flight may still return
	expectOnly(t, s, "b", policy.OK, "x")
	if !busyTransport.Closed {
		t.Error("the connection to the former address stays open")
	}
}

func TestNewAddressIsDialledOnceForEachQueuedCall(t *testing.T) {
	p, _, dialled := newPool(4)
	for _, id := range []node.TaskID{"a", "b", "c", "d", "e"} { // for a to d connections are being dialled; e is queued
		p.Call(id, time.Second, nil)
	}
	p.AddressChanged()
	if len(*dialled) != 8 || len(p.conns) != 4 || len(p.queue) != 1 {
		t.Errorf("%d dialled, %d connections, %d queued", len(*dialled), len(p.conns), len(p.queue))
	}
	for _, c := range (*dialled)[4:] {
		c.Opened(&testutil.FakeConn{})
	}
	p.AddressChanged() // all calls on the former connections are in flight, and e does not wait for them
	if len(*dialled) != 9 || len(p.queue) != 0 {
		t.Errorf("%d dialled, %d queued", len(*dialled), len(p.queue))
	}
}

func FuzzDecodeReply(f *testing.F) {
	for _, seed := range []string{"a HIT 1\r\nx\r\n", "a SHED\r\n", "a HIT 99999999999\r\n", "\r\n", "a HIT 1\r\nxyz", "a HIT -1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, length, err := decodeReply(text)
		if err == nil && (length <= 0 || length > len(text) || r.id == "" || text[length-1] != '\n') {
			t.Errorf("%q was decoded as %+v, %d bytes", text, r, length)
		}
	})
}
