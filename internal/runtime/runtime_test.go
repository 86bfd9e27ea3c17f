package runtime

import (
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

func (s *sink) put(format string, args ...any) { s.got = append(s.got, fmt.Sprintf(format, args...)) }
func (s *sink) RuntimeReady(old bool, ago time.Duration, _ time.Time) {
	s.put("ready %v %v", old, ago)
}
func (s *sink) RuntimeResynced() { s.put("caught up") }
func (s *sink) RunEnded(task string, o policy.Outcome, _ time.Duration, result []byte) {
	s.put("end %s %d %s", task, o, result)
}
func (s *sink) CallRequested(task string, body []byte) { s.put("wants %s %s", task, body) }
func (s *sink) GaugesRead(row []float64)               { s.put("readings %v", row) }
func (s *sink) SelfTestEnded(tag string, good bool)    { s.put("verdict %s %v", tag, good) }

func link() (*Link, *sink, *[]time.Duration) {
	s, waits := &sink{}, &[]time.Duration{}
	after := func(d time.Duration, _ func()) { *waits = append(*waits, d) }
	return NewLink(s, func(loop.Handler) {}, after, 7, zap.NewNop()), s, waits
}

// open joins the link's newest session to a wire.
func open(l *Link, w loop.Conn) {
	l.Open()
	l.now.Opened(w)
}

func TestNoticesAreToldOnceAndInOrder(t *testing.T) {
	l, s, _ := link()
	w := &testutil.FakeConn{}
	open(l, w)
	const notices = `{"verb":"ready","outcome":"new","spent":1.5}
{"verb":"wants","index":1,"task":"a","bytes":"eA=="}
{"verb":"wants","index":1,"task":"a","bytes":"eQ=="}
{"index":2,"verb":"end","task":"a","outcome":"good","bytes":"eg==","spent":3}
`
	for _, c := range []byte(notices) { // broken at every byte
		if err := l.now.Received([]byte{c}); err != nil {
			t.Fatal(err)
		}
	}
	if l.Up() {
		t.Error("up before the notices that were missed have been read")
	}
	if err := l.now.Received([]byte(`{"verb":"load","nonce":"sync1","readings":[1,2]}` + "\n")); err != nil || !l.Up() {
		t.Errorf("%v, up %v", err, l.Up())
	}
	if got := strings.Join(s.got, "; "); got != "ready false 1.5ms; wants a x; end a 1 z; caught up; readings [1 2]" {
		t.Error(got)
	}
	again := &testutil.FakeConn{}
	l.now.Closed(&loop.ConnError{Connected: true})
	open(l, again)
	if l.Up() || !strings.Contains(again.Out, `"index":2`) {
		t.Errorf("up %v, synced with %q", l.Up(), again.Out)
	}
}

func TestWaitsBetweenTriesGrowAndEnd(t *testing.T) {
	l, _, waits := link()
	for range 12 {
		l.Open()
		l.now.Closed(&loop.ConnError{})
	}
	w := *waits
	if w[0] > 2*leastWait || w[5] < 4*leastWait || w[11] < mostWait/2 || w[11] > 2*mostWait {
		t.Errorf("%v", w)
	}
}

func TestNewLinkTakesThePlaceOfTheOldWhenItIsOpen(t *testing.T) {
	l, s, _ := link()
	old, w := &testutil.FakeConn{}, &testutil.FakeConn{}
	open(l, old)
	first := l.now
	l.Open()
	l.Stop("a")
	if old.Closed || !strings.Contains(old.Out, `"stop"`) {
		t.Error("the old link does not serve until the new one stands")
	}
	l.now.Opened(w)
	if err := first.Received([]byte(`{"verb":"wants","index":1,"task":"a","bytes":"eA=="}` + "\n")); err != nil || len(s.got) > 0 {
		t.Errorf("%v, %q heard on the old link", err, s.got)
	}
	first.Closed(&loop.ConnError{Connected: true})
	if l.Stop("b"); !old.Closed || !strings.Contains(w.Out, `"b"`) {
		t.Errorf("closed %v, wrote %q", old.Closed, w.Out)
	}
}

func TestRefusedStartIsMoot(t *testing.T) {
	l, s, _ := link()
	open(l, &testutil.FakeConn{})
	_ = l.now.Received([]byte(`{"verb":"nack","outcome":"start","task":"a"}` + "\n" + `{"verb":"nack","outcome":"give","task":"b"}` + "\n"))
	if len(s.got) != 1 || s.got[0] != fmt.Sprintf("end a %d ", policy.NotStarted) {
		t.Errorf("%q", s.got)
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"verb":"end","index":3,"task":"a","outcome":"good","spent":12.5,"bytes":"AP8="}`,
		`{"verb":"load","nonce":"g","readings":[0.5,3,0.1,20]}`, `{"verb":"ready","outcome":"old","spent":1e300}`, `{"verb":`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		if n, err := Decode(line); err == nil && (n.Verb == "" || n.Spent < 0 || len(n.Bytes) > mostBytes) {
			t.Errorf("%q was taken as %+v", line, n)
		}
	})
}
