package runtimelink

import (
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

// sink records what the link passes on.
type sink struct{ got []string }

func (s *sink) record(format string, args ...any) {
	s.got = append(s.got, fmt.Sprintf(format, args...))
}
func (s *sink) RuntimeReady(state node.RuntimeState) {
	s.record("ready %v %v", state.Reused, state.Age)
}
func (s *sink) RuntimeResynced() { s.record("resynced") }
func (s *sink) RunEnded(id node.TaskID, result node.RunResult) {
	s.record("end %s %d %s", id, result.Outcome, result.Body)
}
func (s *sink) CallRequested(id node.TaskID, body []byte) { s.record("wants %s %s", id, body) }
func (s *sink) GaugesRead(values []float64)               { s.record("readings %v", values) }
func (s *sink) SelfTestEnded(id string, status node.HealthStatus) {
	s.record("verdict %s %v", id, status == node.Healthy)
}

func newLink() (*Link, *sink, *[]time.Duration) {
	s := &sink{}
	delays := &[]time.Duration{}
	schedule := func(d time.Duration, _ func()) { *delays = append(*delays, d) }
	return NewLink(s, func(loop.Handler) {}, schedule, 7, zap.NewNop()), s, delays
}

// open gives the link a new connection.
func open(l *Link, w loop.Conn) {
	l.Open()
	l.latest.Opened(w)
}

func TestNoticesArePassedOnOnceAndInOrder(t *testing.T) {
	l, s, _ := newLink()
	w := &testutil.FakeConn{}
	open(l, w)
	const notices = `{"verb":"ready","outcome":"new","spent":1.5}
{"verb":"wants","index":1,"task":"a","bytes":"eA=="}
{"verb":"wants","index":1,"task":"a","bytes":"eQ=="}
{"index":2,"verb":"end","task":"a","outcome":"good","bytes":"eg==","spent":3}
`
	for _, c := range []byte(notices) { // split at every byte
		if err := l.latest.Received([]byte{c}); err != nil {
			t.Fatal(err)
		}
	}
	if l.Up() {
		t.Error("up before the missed notices were read")
	}
	if err := l.latest.Received([]byte(`{"verb":"load","nonce":"sync1","readings":[1,2]}` + "\n")); err != nil || !l.Up() {
		t.Errorf("%v, up %v", err, l.Up())
	}
	if got := strings.Join(s.got, "; "); got != "ready false 1.5ms; wants a x; end a 1 z; resynced; readings [1 2]" {
		t.Error(got)
	}
	again := &testutil.FakeConn{}
	l.latest.Closed(&loop.ConnError{Connected: true})
	open(l, again)
	if l.Up() || !strings.Contains(again.Out, `"index":2`) {
		t.Errorf("up %v, synced with %q", l.Up(), again.Out)
	}
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	l, _, delays := newLink()
	for range 12 {
		l.Open()
		l.latest.Closed(&loop.ConnError{})
	}
	w := *delays
	if w[0] > 2*minBackoff || w[5] < 4*minBackoff || w[11] < maxBackoff/2 || w[11] > 2*maxBackoff {
		t.Errorf("%v", w)
	}
}

func TestNewConnectionReplacesTheOldOnceItIsOpen(t *testing.T) {
	l, s, _ := newLink()
	old := &testutil.FakeConn{}
	w := &testutil.FakeConn{}
	open(l, old)
	first := l.latest
	l.Open()
	l.Stop("a")
	if old.Closed || !strings.Contains(old.Out, `"stop"`) {
		t.Error("the old connection does not serve until the new one is open")
	}
	l.latest.Opened(w)
	if err := first.Received([]byte(`{"verb":"wants","index":1,"task":"a","bytes":"eA=="}` + "\n")); err != nil || len(s.got) > 0 {
		t.Errorf("%v, %q read on the old connection", err, s.got)
	}
	first.Closed(&loop.ConnError{Connected: true})
	l.Stop("b")
	if !old.Closed || !strings.Contains(w.Out, `"b"`) {
		t.Errorf("closed %v, wrote %q", old.Closed, w.Out)
	}
}

func TestRejectedStartEndsTheRunAsNotStarted(t *testing.T) {
	l, s, _ := newLink()
	open(l, &testutil.FakeConn{})
	_ = l.latest.Received([]byte(`{"verb":"nack","outcome":"start","task":"a"}` + "\n" + `{"verb":"nack","outcome":"give","task":"b"}` + "\n"))
	if len(s.got) != 1 || s.got[0] != fmt.Sprintf("end a %d ", policy.NotStarted) {
		t.Errorf("%q", s.got)
	}
}

func FuzzDecodeNotice(f *testing.F) {
	for _, seed := range []string{`{"verb":"end","index":3,"task":"a","outcome":"good","spent":12.5,"bytes":"AP8="}`,
		`{"verb":"load","nonce":"g","readings":[0.5,3,0.1,20]}`, `{"verb":"ready","outcome":"old","spent":1e300}`, `{"verb":`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		if n, err := decodeNotice(line); err == nil && (n.Verb == "" || n.Spent < 0 || len(n.Body) > maxBodyBytes) {
			t.Errorf("%q was taken as %+v", line, n)
		}
	})
}
