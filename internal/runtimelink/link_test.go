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

// sink records the notices that the link passes on.
type sink struct{ events []string }

func (s *sink) record(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf(format, args...))
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

// open dials a connection of the link and opens it.
func open(l *Link, conn loop.Conn) {
	l.Open()
	l.latest.Opened(conn)
}

func TestNoticesArePassedOnOnceAndInOrder(t *testing.T) {
	l, s, _ := newLink()
	conn := &testutil.FakeConn{}
	open(l, conn)
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
		t.Error("the link is up before the missed notices were read")
	}
	if err := l.latest.Received([]byte(`{"verb":"load","nonce":"sync1","readings":[1,2]}` + "\n")); err != nil || !l.Up() {
		t.Errorf("%v, up %v", err, l.Up())
	}
	if got := strings.Join(s.events, "; "); got != "ready false 1.5ms; wants a x; end a 1 z; resynced; readings [1 2]" {
		t.Error(got)
	}
	newConn := &testutil.FakeConn{}
	l.latest.Closed(&loop.ConnError{Connected: true})
	open(l, newConn)
	if l.Up() || !strings.Contains(newConn.Out, `"index":2`) {
		t.Errorf("up %v, wrote %q, want a sync from index 2", l.Up(), newConn.Out)
	}
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	l, _, delays := newLink()
	for range 12 {
		l.Open()
		l.latest.Closed(&loop.ConnError{})
	}
	backoffs := *delays
	if backoffs[0] > 2*minBackoff || backoffs[5] < 4*minBackoff || backoffs[11] < maxBackoff/2 || backoffs[11] > 2*maxBackoff {
		t.Errorf("got delays %v", backoffs)
	}
}

func TestNewConnectionReplacesTheOldOnceItIsOpen(t *testing.T) {
	l, s, _ := newLink()
	oldConn := &testutil.FakeConn{}
	conn := &testutil.FakeConn{}
	open(l, oldConn)
	oldSession := l.latest
	l.Open()
	l.Stop("a")
	if oldConn.Closed || !strings.Contains(oldConn.Out, `"stop"`) {
		t.Error("the old connection was closed or not used before the new one was open")
	}
	l.latest.Opened(conn)
	if err := oldSession.Received([]byte(`{"verb":"wants","index":1,"task":"a","bytes":"eA=="}` + "\n")); err != nil || len(s.events) > 0 {
		t.Errorf("%v, %q read on the old connection", err, s.events)
	}
	oldSession.Closed(&loop.ConnError{Connected: true})
	l.Stop("b")
	if !oldConn.Closed || !strings.Contains(conn.Out, `"b"`) {
		t.Errorf("closed %v, wrote %q", oldConn.Closed, conn.Out)
	}
}

func TestRejectedStartEndsTheRunAsNotStarted(t *testing.T) {
	l, s, _ := newLink()
	open(l, &testutil.FakeConn{})
	_ = l.latest.Received([]byte(`{"verb":"nack","outcome":"start","task":"a"}` + "\n" + `{"verb":"nack","outcome":"give","task":"b"}` + "\n"))
	if len(s.events) != 1 || s.events[0] != fmt.Sprintf("end a %d ", policy.NotStarted) {
		t.Errorf("got %q, want only the end of run a", s.events)
	}
}

func FuzzDecodeNotice(f *testing.F) {
	for _, seed := range []string{`{"verb":"end","index":3,"task":"a","outcome":"good","spent":12.5,"bytes":"AP8="}`,
		`{"verb":"load","nonce":"g","readings":[0.5,3,0.1,20]}`, `{"verb":"ready","outcome":"old","spent":1e300}`, `{"verb":`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		if n, err := decodeNotice(line); err == nil && (n.Verb == "" || n.Spent < 0 || len(n.Body) > maxBodyBytes) {
			t.Errorf("%q was decoded as %+v", line, n)
		}
	})
}
