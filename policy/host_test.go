package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

// ms is one millisecond, short for the times in the tests.
const ms = time.Millisecond

// hostRecorder is a Host that records the calls of its methods, one line each.
type hostRecorder struct{ calls []string }

func (h *hostRecorder) record(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *hostRecorder) Start(id RequestID) { h.record("start %d", id) }
func (h *hostRecorder) Stop(id RequestID)  { h.record("stop %d", id) }
func (h *hostRecorder) Reject(id RequestID, r Rejection) {
	h.record("reject %d no=%v after=%v", id, r.NoRetryElsewhere, r.RetryAfter)
}
func (h *hostRecorder) Fail(id RequestID)                        { h.record("fail %d", id) }
func (h *hostRecorder) Call(id RequestID, timeout time.Duration) { h.record("call %d", id) }
func (h *hostRecorder) SkipCall(id RequestID)                    { h.record("skip call %d", id) }
func (h *hostRecorder) RecordKey(id RequestID, lifetime time.Duration) {
	h.record("record key %d for %v", id, lifetime)
}
func (h *hostRecorder) ForgetKey(id RequestID)               { h.record("forget key %d", id) }
func (h *hostRecorder) Coalesce(id RequestID)                { h.record("coalesce %d", id) }
func (h *hostRecorder) SetHealth(health Health)              { h.record("health %v", health.Healthy) }
func (h *hostRecorder) SetIdleTimeout(timeout time.Duration) { h.record("idle timeout %v", timeout) }
func (h *hostRecorder) Advertise(value float64)              { h.record("advertise %.3f", value) }
func (h *hostRecorder) Wake(at time.Duration)                {}
func (h *hostRecorder) Release(id RequestID)                 { h.record("release %d", id) }
func (h *hostRecorder) Log(message string, _ ...zap.Field)   { h.record("log %s", message) }

// expectCalls fails the test unless exactly n recorded calls equal text or start with text and a space.
func (h *hostRecorder) expectCalls(t *testing.T, n int, text string) {
	t.Helper()
	got := 0
	for _, call := range h.calls {
		if call == text || strings.HasPrefix(call, text+" ") {
			got++
		}
	}
	if got != n {
		t.Errorf("call %q recorded %d times, want %d, in %q", text, got, n, h.calls)
	}
}

func newTestInstance(change func(*settings.Settings)) (*Instance, *hostRecorder) {
	host := &hostRecorder{}
	return New(host, 7, testutil.TypedSettings(change)), host
}

func requestOf(class int) Request { return Request{Class: class, MemoryKB: 10, Original: NoOriginal} }

// fillCores starts a request of the class on each of the two cores, and queues the given number of further
// requests.
func fillCores(inst *Instance, class, queued int) {
	for id := range RequestID(2 + queued) {
		inst.Admit(0, id, requestOf(class))
	}
	inst.Dispatch(0)
}
