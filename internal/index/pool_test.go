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

// sink records the ends of calls.
type sink struct{ got []string }

func (s *sink) CallReturned(id node.TaskID, result node.CallResult) {
	s.got = append(s.got, fmt.Sprintf("%s %d %s", id, result.Outcome, result.Reply))
}

// newPool returns a pool and the connections that it dials; open opens one.
func newPool(maxConns int) (p *Pool, s *sink, dialled *[]*connection) {
	s = &sink{}
	dialled = &[]*connection{}
	return NewPool(s, func(to loop.Handler) { *dialled = append(*dialled, to.(*connection)) }, maxConns, zap.NewNop()), s, dialled
}

// open opens the connection that was dialled last.
func open(dialled *[]*connection) (*connection, *testutil.FakeConn) {
	c := (*dialled)[len(*dialled)-1]
	w := &testutil.FakeConn{}
	c.Opened(w)
	return c, w
}

// expectOnly fails unless the call's end is all that was recorded.
func expectOnly(t *testing.T, s *sink, id string, outcome policy.Outcome, reply string) {
	t.Helper()
	if len(s.got) != 1 || s.got[0] != fmt.Sprintf("%s %d %s", id, outcome, reply) {
		t.Errorf("got %q, want %s with outcome %d", s.got, id, outcome)
	}
	s.got = nil
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
	if got := strings.Join(s.got, ","); !strings.Contains(got, fmt.Sprintf("c %d", policy.ConnectFailed)) ||
		!strings.Contains(got, fmt.Sprintf("d %d", policy.ConnectFailed)) {
		t.Errorf("got %q", got)
	}
	s.got = nil
	c, w := open(dialled)
	p.Call("e", time.Second, []byte("x"))
	p.Sweep(time.Now().Add(2 * time.Second))
	expectOnly(t, s, "e", policy.TimedOut, "")
	if !strings.HasSuffix(w.Out, " 1\r\nx\r\n") || strings.Contains(w.Out, "GET c") || !w.Closed {
		t.Errorf("wrote %q, closed %v", w.Out, w.Closed)
	}
	c.Closed(&loop.ConnError{Connected: true, Err: errors.New("closed")})
	if len(s.got) != 0 || len(p.conns) != 0 {
		t.Errorf("got %q, %d connections left", s.got, len(p.conns))
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
		if got := strings.Join(s.got, ","); got != fmt.Sprintf("a %d \r\n\r\n", policy.OK) {
			t.Errorf("cut at %d: %q", cut, got)
		}
	}
}

// A late or repeated reply must not be taken for the reply to another call.
func TestRepeatedReplyIsNotTakenForTheNextCall(t *testing.T) {
	p, s, dialled := newPool(8)
	p.Call("a", time.Second, nil)
	first, _ := open(dialled)
	_ = first.Received([]byte("a HIT 1\r\n1\r\n"))
	expectOnly(t, s, "a", policy.OK, "1")
	p.Call("a", time.Second, nil) // its next call, elsewhere
	second, _ := open(dialled)
	_ = first.Received([]byte("a HIT 1\r\n1\r\n"))
	if len(s.got) != 0 || second == first {
		t.Errorf("%q was taken", s.got)
	}
	p.Abandon("a")
	p.Call("b", time.Second, nil)
	if first.call == nil || first.call.id != "b" {
		t.Error("a valid connection is not reused")
	}
}

func TestBrokenConnectionAffectsOnlyItsOwnCall(t *testing.T) {
	p, s, dialled := newPool(8)
	p.Call("a", time.Second, nil)
	bad, _ := open(dialled)
	p.Call("b", time.Second, nil)
	good, _ := open(dialled)
	for _, noise := range []string{"no reply at all\n", "a HIT 3000000000\r\n", "a HIT -1\r\n", strings.Repeat("x", maxHeadBytes+1), "a HIT 1\r\nxyz"} {
		if err := bad.Received([]byte(noise)); err == nil {
			t.Errorf("%.20q was taken", noise)
		}
		bad.unread = nil
	}
	bad.Closed(&loop.ConnError{Connected: true, Err: errors.New("noise")})
	expectOnly(t, s, "a", policy.Reset, "")
	_ = good.Received([]byte("b HIT 1\r\nx\r\n"))
	expectOnly(t, s, "b", policy.OK, "x")
}

func TestIdleConnectionsAndThoseOfTheFormerAddressAreNotUsed(t *testing.T) {
	p, s, dialled := newPool(8)
	p.Call("a", time.Second, nil)
	c, w := open(dialled)
	_ = c.Received([]byte("a SHED\r\n"))
	p.Sweep(time.Now().Add(idleTimeout / 2))
	if w.Closed {
		t.Error("closed too soon")
	}
	p.Sweep(time.Now().Add(2 * idleTimeout))
	if !w.Closed {
		t.Error("an idle connection stays")
	}
	p.Call("b", time.Second, nil)
	out, wOut := open(dialled)
	p.Call("c", time.Second, nil) // being dialled when the address changes
	dialing := (*dialled)[len(*dialled)-1]
	p.AddressChanged()
	wDialing := &testutil.FakeConn{}
	dialing.Opened(wDialing)
	now, wNow := open(dialled)
	if !wDialing.Closed || wDialing.Out != "" || now == dialing || !strings.HasPrefix(wNow.Out, "GET c") {
		t.Errorf("old: closed %v, %q; new: %q", wDialing.Closed, wDialing.Out, wNow.Out)
	}
	s.got = nil
	_ = out.Received([]byte("b HIT 1\r\nx\r\n")) // may still return
	expectOnly(t, s, "b", policy.OK, "x")
	if !wOut.Closed {
		t.Error("the connection to the former address stays open")
	}
}

func TestNewAddressIsDialledOnceForEachQueuedCall(t *testing.T) {
	p, _, dialled := newPool(4)
	for _, id := range []node.TaskID{"a", "b", "c", "d", "e"} { // four being dialled, e is queued
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
		r, n, err := decodeReply(text)
		if err == nil && (n <= 0 || n > len(text) || r.id == "" || text[n-1] != '\n') {
			t.Errorf("%q was taken as %+v, %d bytes", text, r, n)
		}
	})
}
