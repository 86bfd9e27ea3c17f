package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// hostRecorder is a module's host that writes down what it is told to do.
type hostRecorder struct{ calls []string }

func (b *hostRecorder) put(format string, args ...any) {
	b.calls = append(b.calls, fmt.Sprintf(format, args...))
}

func (b *hostRecorder) Start(w RequestID) { b.put("start %d", w) }
func (b *hostRecorder) Stop(w RequestID)  { b.put("stop %d", w) }
func (b *hostRecorder) Reject(w RequestID, r Rejection) {
	b.put("reject %d no=%v after=%v", w, r.NoRetryElsewhere, r.RetryAfter)
}
func (b *hostRecorder) Fail(w RequestID)                          { b.put("scrap %d", w) }
func (b *hostRecorder) Call(w RequestID, p time.Duration)         { b.put("call %d", w) }
func (b *hostRecorder) SkipCall(w RequestID)                      { b.put("omit %d", w) }
func (b *hostRecorder) RecordKey(w RequestID, life time.Duration) { b.put("record %d for %v", w, life) }
func (b *hostRecorder) ForgetKey(w RequestID)                     { b.put("forget %d", w) }
func (b *hostRecorder) Coalesce(w RequestID)                      { b.put("join %d", w) }
func (b *hostRecorder) SetHealth(h Health)                        { b.put("health %v", h.Healthy) }
func (b *hostRecorder) SetIdleTimeout(after time.Duration)        { b.put("idle %v", after) }
func (b *hostRecorder) Advertise(v float64)                       { b.put("free %.3f", v) }
func (b *hostRecorder) Wake(at time.Duration)                     {}
func (b *hostRecorder) Release(w RequestID)                       { b.put("release %d", w) }
func (b *hostRecorder) Log(message string, _ ...zap.Field)        { b.put("log %s", message) }

// expectCalls fails unless exactly n lines start with the text.
func (b *hostRecorder) expectCalls(t *testing.T, n int, text string) {
	t.Helper()
	got := 0
	for _, l := range b.calls {
		if l == text || strings.HasPrefix(l, text+" ") {
			got++
		}
	}
	if got != n {
		t.Errorf("%q: %d times, want %d, in %q", text, got, n, b.calls)
	}
}
