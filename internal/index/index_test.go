package index

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/aid"
	"thymechute/internal/loop"
	"thymechute/policy"
)

type sink struct{ got []string }

func (s *sink) Returned(rid string, o policy.Outcome, _ time.Duration, reply []byte) {
	s.got = append(s.got, fmt.Sprintf("%s %d %s", rid, o, reply))
}

func line() (l *Line, s *sink, dials *int) {
	s, dials = &sink{}, new(int)
	return NewLine(s, func(loop.Peer) { *dials++ }, zap.NewNop()), s, dials
}

func wants(t *testing.T, s *sink, rid string, o policy.Outcome, reply string) {
	t.Helper()
	if len(s.got) != 1 || s.got[0] != fmt.Sprintf("%s %d %s", rid, o, reply) {
		t.Errorf("got %q, want %s with outcome %d", s.got, rid, o)
	}
	s.got = nil
}

func TestHowFarACallCameDecidesItsOutcome(t *testing.T) {
	l, s, dials := line()
	l.Call("a", time.Second, []byte("x"))
	l.Closed(&loop.Broken{Err: errors.New("refused")})
	wants(t, s, "a", policy.ConnectFailed, "")
	l.Call("b", time.Second, []byte("x"))
	l.Opened(&aid.Wire{})
	l.Closed(&loop.Broken{Connected: true, Err: errors.New("reset")})
	wants(t, s, "b", policy.Reset, "")
	l.Call("c", time.Second, []byte("x")) // still dialling at its end
	l.Sweep(time.Now().Add(2 * time.Second))
	wants(t, s, "c", policy.ConnectFailed, "")
	w := &aid.Wire{}
	l.Opened(w)
	l.Call("d", time.Second, []byte("x"))
	l.Sweep(time.Now().Add(2 * time.Second))
	wants(t, s, "d", policy.TimedOut, "")
	if !strings.HasSuffix(w.Out, " 1\r\nx\r\nSTOP d\r\n") || strings.Contains(w.Out, "GET c") || *dials != 3 {
		t.Errorf("wrote %q, dialled %d times", w.Out, *dials)
	}
}

func TestRepliesAreReadWhereverTheyBreak(t *testing.T) {
	const text = "b SHED\r\na HIT 4\r\n\r\n\r\n\r\nc SLOW\r\n"
	for cut := range len(text) {
		l, s, _ := line()
		l.Opened(&aid.Wire{})
		for _, rid := range []string{"a", "b"} {
			l.Call(rid, time.Second, nil)
		}
		for _, part := range []string{text[:cut], text[cut:]} {
			if err := l.Read([]byte(part)); err != nil {
				t.Fatal(err)
			}
		}
		if got := strings.Join(s.got, ","); got != fmt.Sprintf("b %d ,a %d \r\n\r\n", policy.Full, policy.OK) {
			t.Errorf("cut at %d: %q", cut, got)
		}
	}
}

func TestConnectionAboutToBeClosedIsNotUsed(t *testing.T) {
	l, s, dials := line()
	w := &aid.Wire{}
	l.Opened(w)
	l.Sweep(time.Now().Add(idleAfter / 2))
	if w.Closed {
		t.Error("closed too soon")
	}
	l.Sweep(time.Now().Add(2 * idleAfter))
	l.Call("a", time.Second, nil)
	l.Closed(&loop.Broken{Connected: true, Err: errors.New("closed")}) // of the old one
	if !w.Closed || w.Out != "" || *dials != 1 || len(s.got) != 0 {
		t.Errorf("closed %v, wrote %q, dialled %d times, told %q", w.Closed, w.Out, *dials, s.got)
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
