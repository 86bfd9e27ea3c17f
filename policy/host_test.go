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

// hostRecorder is a module's host that records what it is asked to do.
type hostRecorder struct{ calls []string }

func (h *hostRecorder) put(format string, args ...any) {
	h.calls = append(h.calls, fmt.Sprintf(format, args...))
}

func (h *hostRecorder) Start(id RequestID) { h.put("start %d", id) }
func (h *hostRecorder) Stop(id RequestID)  { h.put("stop %d", id) }
func (h *hostRecorder) Reject(id RequestID, r Rejection) {
	h.put("reject %d no=%v after=%v", id, r.NoRetryElsewhere, r.RetryAfter)
}
func (h *hostRecorder) Fail(id RequestID)                  { h.put("fail %d", id) }
func (h *hostRecorder) Call(id RequestID, p time.Duration) { h.put("call %d", id) }
func (h *hostRecorder) SkipCall(id RequestID)              { h.put("skip call %d", id) }
func (h *hostRecorder) RecordKey(id RequestID, lifetime time.Duration) {
	h.put("record key %d for %v", id, lifetime)
}
func (h *hostRecorder) ForgetKey(id RequestID)             { h.put("forget key %d", id) }
func (h *hostRecorder) Coalesce(id RequestID)              { h.put("coalesce %d", id) }
func (h *hostRecorder) SetHealth(health Health)            { h.put("health %v", health.Healthy) }
func (h *hostRecorder) SetIdleTimeout(after time.Duration) { h.put("idle timeout %v", after) }
func (h *hostRecorder) Advertise(v float64)                { h.put("advertise %.3f", v) }
func (h *hostRecorder) Wake(at time.Duration)              {}
func (h *hostRecorder) Release(id RequestID)               { h.put("release %d", id) }
func (h *hostRecorder) Log(message string, _ ...zap.Field) { h.put("log %s", message) }

// expectCalls fails unless exactly n lines start with the text.
func (h *hostRecorder) expectCalls(t *testing.T, n int, text string) {
	t.Helper()
	got := 0
	for _, call := range h.calls {
		if call == text || strings.HasPrefix(call, text+" ") {
			got++
		}
	}
	if got != n {
		t.Errorf("%q: %d times, want %d, in %q", text, got, n, h.calls)
	}
}

func newTestInstance(change func(*settings.Settings)) (*Instance, *hostRecorder) {
	host := &hostRecorder{}
	return New(host, 7, testutil.TypedSettings(change)), host
}

func requestOf(class int) Request { return Request{Class: class, MemoryKB: 10, Original: NoOriginal} }

// fillCores fills both cores with requests of the class, and queues n more.
func fillCores(inst *Instance, class, n int) {
	for id := range RequestID(2 + n) {
		inst.Admit(0, id, requestOf(class))
	}
	inst.Dispatch(0)
}
