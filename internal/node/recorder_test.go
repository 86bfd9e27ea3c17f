package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

// recorder records the calls of an instance as its Runtime, Dependency and Responder, and as its Front by recordingFront.
type recorder struct {
	down    bool     // the link to the runtime is down
	pending bool     // the front has undelivered answers
	lines   []string // one per call; an answer has its Status as a number
}

func (r *recorder) record(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}
func (r *recorder) Up() bool { return !r.down }
func (r *recorder) Start(id TaskID, class string, body []byte) {
	r.record("start %s %s %s", id, class, body)
}
func (r *recorder) Stop(id TaskID)                       { r.record("stop %s", id) }
func (r *recorder) DeliverReply(id TaskID, reply []byte) { r.record("deliver %s %s", id, reply) }
func (r *recorder) RequestGauges()                       { r.record("gauges") }
func (r *recorder) SelfTest(string)                      { r.record("self-test") }
func (r *recorder) Call(id TaskID, _ time.Duration, body []byte) {
	r.record("call %s %s", id, body)
}
func (r *recorder) Abandon(id TaskID)                { r.record("abandon %s", id) }
func (r *recorder) SetIdleTimeout(time.Duration)     {}
func (r *recorder) Drain()                           { r.record("drain") }
func (r *recorder) Sweep(time.Time) (next time.Time) { return }
func (r *recorder) AnswerHealthCheck(id MessageID, result HealthCheckResult) {
	r.record("health %s %v", id, result.Status == Healthy)
}
func (r *recorder) Answer(id MessageID, answer Answer) {
	r.record("answer %s %d %s", id, answer.Status, answer.Result)
}

// expect fails the test unless exactly n recorded lines start with the text.
func (r *recorder) expect(t *testing.T, n int, text string) {
	t.Helper()
	got := strings.Count("\n"+strings.Join(r.lines, "\n")+"\n", "\n"+text)
	if got != n {
		t.Errorf("calls that start with %q: %d, want %d, in %q", text, got, n, r.lines)
	}
}

type recordingFront struct{ *recorder }

func (recordingFront) Sweep(time.Time)    {}
func (f recordingFront) HasPending() bool { return f.pending }

type discardReporter struct{}

func (discardReporter) ReportIfDue(time.Time, HealthStatus) {}

// newReadyInstance returns an instance with a ready runtime and the classes safe, keyed and unsafe.
func newReadyInstance(change func(*settings.Settings)) (*Instance, *recorder) {
	rec := &recorder{}
	n := New(testutil.TypedSettings(change), 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(rec, rec, discardReporter{}, recordingFront{rec}, recordingFront{rec})
	n.RuntimeReady(RuntimeState{RequestedAt: time.Now()})
	n.Tick()
	return n, rec
}

// applySettings applies the delta from before to after.
func (n *Instance) applySettings(t *testing.T, before, after settings.Settings) {
	t.Helper()
	delta, err := settings.Compare(n.SettingsVersion(), before, after, func() {})
	if err == nil {
		err = n.Apply(delta)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// admitRequest admits a request that reached the machine some time ago, and ticks.
func (n *Instance) admitRequest(responder Responder, id TaskID, class, key string, ago time.Duration) {
	n.mustAdmit(responder, Request{
		ID:         id,
		Class:      class,
		Key:        key,
		MemoryKB:   1,
		ReceivedAt: time.Now().Add(-ago),
		Body:       []byte("x"),
	})
}

// admitRedelivered admits a request that may have run elsewhere, and ticks.
func (n *Instance) admitRedelivered(responder Responder, id TaskID, class, key, body string) {
	n.mustAdmit(responder, Request{
		ID:                  id,
		Class:               class,
		Key:                 key,
		MemoryKB:            1,
		MayHaveRunElsewhere: true,
		ReceivedAt:          time.Now(),
		Body:                []byte(body),
	})
}

// mustAdmit admits the request under its own id, panics on an error, and ticks.
func (n *Instance) mustAdmit(responder Responder, request Request) {
	if err := n.Admit(responder, MessageID(request.ID), request); err != nil {
		panic(err)
	}
	n.Tick()
}
