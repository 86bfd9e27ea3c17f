package index

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/testutil"
	"thymechute/policy"
)

type sink struct{ got []string }

func (s *sink) CallReturned(rid string, o policy.Outcome, _ time.Duration, reply []byte) {
	s.got = append(s.got, fmt.Sprintf("%s %d %s", rid, o, reply))
}

// pool is one that notes what it dials; stand lets it stand.
func pool(most int) (p *Pool, s *sink, dialled *[]*conn) {
	s, dialled = &sink{}, &[]*conn{}
	return NewPool(s, func(to loop.Handler) { *dialled = append(*dialled, to.(*conn)) }, most, zap.NewNop()), s, dialled
}

// stand lets the newest connection stand.
func stand(dialled *[]*conn) (*conn, *testutil.FakeConn) {
	k, w := (*dialled)[len(*dialled)-1], &testutil.FakeConn{}
	k.Opened(w)
	return k, w
}

func wants(t *testing.T, s *sink, rid string, o policy.Outcome, reply string) {
	t.Helper()
	if len(s.got) != 1 || s.got[0] != fmt.Sprintf("%s %d %s", rid, o, reply) {
		t.Errorf("got %q, want %s with outcome %d", s.got, rid, o)
	}
	s.got = nil
}

func TestHowFarACallCameDecidesItsOutcome(t *testing.T) {
	p, s, dialled := pool(1)
	p.Call("a", time.Second, []byte("x"))
	(*dialled)[0].Closed(&loop.ConnError{Err: errors.New("refused")})
	wants(t, s, "a", policy.ConnectFailed, "")
	p.Call("b", time.Second, []byte("x"))
	k, _ := stand(dialled)
	k.Closed(&loop.ConnError{Connected: true, Err: errors.New("reset")})
	wants(t, s, "b", policy.Reset, "")
	p.Call("c", time.Second, []byte("x"))
	p.Call("d", time.Second, []byte("x")) // waits for the only connection
	p.Sweep(time.Now().Add(2 * time.Second))
	if got := strings.Join(s.got, ","); !strings.Contains(got, fmt.Sprintf("c %d", policy.ConnectFailed)) ||
		!strings.Contains(got, fmt.Sprintf("d %d", policy.ConnectFailed)) {
		t.Errorf("got %q", got)
	}
	s.got = nil
	k, w := stand(dialled)
	p.Call("e", time.Second, []byte("x"))
	p.Sweep(time.Now().Add(2 * time.Second))
	wants(t, s, "e", policy.TimedOut, "")
	if !strings.HasSuffix(w.Out, " 1\r\nx\r\n") || strings.Contains(w.Out, "GET c") || !w.Closed {
		t.Errorf("wrote %q, closed %v", w.Out, w.Closed)
	}
	if k.Closed(&loop.ConnError{Connected: true, Err: errors.New("closed")}); len(s.got) != 0 || len(p.conns) != 0 {
		t.Errorf("got %q, %d connections left", s.got, len(p.conns))
	}
}

func TestRepliesAreReadWhereverTheyBreak(t *testing.T) {
	const text = "b SHED\r\na HIT 4\r\n\r\n\r\n\r\na HIT 1\r\nx\r\nc SLOW\r\n"
	for cut := range len(text) {
		p, s, dialled := pool(1)
		p.Call("a", time.Second, nil)
		k, _ := stand(dialled)
		for _, part := range []string{text[:cut], text[cut:]} {
			if err := k.Received([]byte(part)); err != nil {
				t.Fatal(err)
			}
		}
		if got := strings.Join(s.got, ","); got != fmt.Sprintf("a %d \r\n\r\n", policy.OK) {
			t.Errorf("cut at %d: %q", cut, got)
		}
	}
}

// What a connection brings late or twice must find no call that it could be taken for.
func TestSecondCopyIsNotTakenForTheNextCall(t *testing.T) {
	p, s, dialled := pool(8)
	p.Call("a", time.Second, nil)
	first, _ := stand(dialled)
	_ = first.Received([]byte("a HIT 1\r\n1\r\n"))
	wants(t, s, "a", policy.OK, "1")
	p.Call("a", time.Second, nil) // its next call, elsewhere
	second, _ := stand(dialled)
	_ = first.Received([]byte("a HIT 1\r\n1\r\n"))
	if len(s.got) != 0 || second == first {
		t.Errorf("%q was taken", s.got)
	}
	p.Abandon("a")
	p.Call("b", time.Second, nil)
	if first.call == nil || first.call.rid != "b" {
		t.Error("a good connection is not used again")
	}
}

func TestABrokenConnectionCostsItsOwnCallOnly(t *testing.T) {
	p, s, dialled := pool(8)
	p.Call("a", time.Second, nil)
	bad, _ := stand(dialled)
	p.Call("b", time.Second, nil)
	good, _ := stand(dialled)
	for _, noise := range []string{"no reply at all\n", "a HIT 3000000000\r\n", "a HIT -1\r\n", strings.Repeat("x", longestHead+1), "a HIT 1\r\nxyz"} {
		if err := bad.Received([]byte(noise)); err == nil {
			t.Errorf("%.20q was taken", noise)
		}
		bad.rest = nil
	}
	bad.Closed(&loop.ConnError{Connected: true, Err: errors.New("noise")})
	wants(t, s, "a", policy.Reset, "")
	_ = good.Received([]byte("b HIT 1\r\nx\r\n"))
	wants(t, s, "b", policy.OK, "x")
}

func TestIdleConnectionsAndThoseOfAnOldAddressAreNotUsed(t *testing.T) {
	p, s, dialled := pool(8)
	p.Call("a", time.Second, nil)
	k, w := stand(dialled)
	_ = k.Received([]byte("a SHED\r\n"))
	p.Sweep(time.Now().Add(idleAfter / 2))
	if w.Closed {
		t.Error("closed too soon")
	}
	if p.Sweep(time.Now().Add(2 * idleAfter)); !w.Closed {
		t.Error("an idle connection stays")
	}
	p.Call("b", time.Second, nil)
	out, wOut := stand(dialled)
	p.Call("c", time.Second, nil) // on its way when the address changes
	way := (*dialled)[len(*dialled)-1]
	p.Move()
	wWay := &testutil.FakeConn{}
	way.Opened(wWay)
	now, wNow := stand(dialled)
	if !wWay.Closed || wWay.Out != "" || now == way || !strings.HasPrefix(wNow.Out, "GET c") {
		t.Errorf("old: closed %v, %q; new: %q", wWay.Closed, wWay.Out, wNow.Out)
	}
	s.got = nil
	_ = out.Received([]byte("b HIT 1\r\nx\r\n")) // may still come back
	wants(t, s, "b", policy.OK, "x")
	if !wOut.Closed {
		t.Error("the old address is kept")
	}
}

func TestNewAddressIsDialledOnceForEachCallThatWaits(t *testing.T) {
	p, _, dialled := pool(4)
	for _, rid := range []string{"a", "b", "c", "d", "e"} { // four on their way, e waits for a place
		p.Call(rid, time.Second, nil)
	}
	p.Move()
	if len(*dialled) != 8 || len(p.conns) != 4 || len(p.queue) != 1 {
		t.Errorf("%d dialled, %d connections, %d wait", len(*dialled), len(p.conns), len(p.queue))
	}
	for _, k := range (*dialled)[4:] {
		k.Opened(&testutil.FakeConn{})
	}
	p.Move() // all out on the old address: e need not wait for them
	if len(*dialled) != 9 || len(p.queue) != 0 {
		t.Errorf("%d dialled, %d wait", len(*dialled), len(p.queue))
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{"a HIT 1\r\nx\r\n", "a SHED\r\n", "a HIT 99999999999\r\n", "\r\n", "a HIT 1\r\nxyz", "a HIT -1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, n, err := Decode(text)
		if err == nil && (n <= 0 || n > len(text) || r.Rid == "" || text[n-1] != '\n') {
			t.Errorf("%q was taken as %+v, %d bytes", text, r, n)
		}
	})
}
