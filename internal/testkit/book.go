// This file owns the decision module's host written down, and settings in its words and in the deployment's.

package testkit

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Book is a module's host that writes down what it is told to do.
type Book struct{ Lines []string }

func (b *Book) put(format string, args ...any) {
	b.Lines = append(b.Lines, fmt.Sprintf(format, args...))
}

func (b *Book) Start(w int) { b.put("start %d", w) }
func (b *Book) Stop(w int)  { b.put("stop %d", w) }
func (b *Book) TurnBack(w int, comeBack time.Duration, no bool) {
	b.put("back %d no=%v after=%v", w, no, comeBack)
}
func (b *Book) Scrap(w int)                      { b.put("scrap %d", w) }
func (b *Book) Call(w int, p time.Duration)      { b.put("call %d", w) }
func (b *Book) LeaveOut(w int)                   { b.put("omit %d", w) }
func (b *Book) Record(w int, life time.Duration) { b.put("record %d for %v", w, life) }
func (b *Book) Forget(w int)                     { b.put("forget %d", w) }
func (b *Book) Join(w int)                       { b.put("join %d", w) }
func (b *Book) Health(good, stored bool)         { b.put("health %v", good) }
func (b *Book) Idle(after time.Duration)         { b.put("idle %v", after) }
func (b *Book) Free(v float64)                   { b.put("free %.3f", v) }
func (b *Book) Wake(at time.Duration)            {}
func (b *Book) Release(w int)                    { b.put("release %d", w) }
func (b *Book) Log(format string, args ...any)   { b.put("log "+format, args...) }

// Wants fails unless exactly n lines start with the text.
func (b *Book) Wants(t *testing.T, n int, text string) {
	t.Helper()
	got := 0
	for _, l := range b.Lines {
		if l == text || strings.HasPrefix(l, text+" ") {
			got++
		}
	}
	if got != n {
		t.Errorf("%q: %d times, want %d, in %q", text, got, n, b.Lines)
	}
}

// Wire is a connection that keeps what is written on it.
type Wire struct {
	Out    string
	Closed bool
}

func (w *Wire) Write(p []byte) { w.Out += string(p) }
func (w *Wire) Close()         { w.Closed = true }

// Told is a server of two cores in the module's words; band 0 is pure, 1 receipted, 2 effectful.
func Told(more map[string]any) map[string]any {
	m := map[string]any{"cores": 2.0, "memory_kb": 1000.0, "run_memory": 4.0, "receipt_kb": 20.0,
		"crowd": 4.0, "stop_mode": "abort", "come_back_s": 1.0, "below": "shared", "calls_share": 2.0,
		"calls_linger_s": 0.2, "grace_s": 1.0, "band.count": 3.0}
	for n, kind := range []string{"pure", "receipted", "effectful"} {
		at := fmt.Sprintf("band.%d.", n)
		m[at+"kind"], m[at+"payoff"], m[at+"due_s"] = kind, float64(n+1), 1.0
		m[at+"patience_s"], m[at+"window_s"], m[at+"calls"] = 3.0, 10.0, true
	}
	for k, v := range more {
		m[k] = v
	}
	return m
}

// Settings are those of a small site, in the deployment's words: bands trace, excursion and seal, of which the
// second is receipted and the third effectful.
func Settings() map[string]any {
	var classes []any
	for n, kind := range []string{"repeatable", "by_key", "once"} {
		classes = append(classes, map[string]any{"name": []string{"trace", "excursion", "seal"}[n], "repeat": kind,
			"worth": n + 1, "aim_s": 20, "deadline_s": 30, "window_s": 60, "late_value": 0})
	}
	return map[string]any{"classes": classes, "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 1000}},
		"fleet_size": 1, "rules": map[string]any{"drain_grace_s": 0.3, "fall_multiple": 8},
		"policy_limits": map[string]any{"max_retry_after_s": 1, "retry_after": true},
		"domain": map[string]any{"cores": 4, "ram_kb": 100000, "blowup": 2, "entry_kb": 1, "halt": "abort",
			"say": "threshold", "depends_on": "shared", "dep_share": 50, "dep_window_s": 5, "linger_s": 0.2,
			"calls_by_class": []any{true, true, true}, "degraded_worth": []any{0, 0, 0}, "caller_idle_s": 30,
			"clients_total": 3, "gauges": []any{"cpu_busy", "runnable"}}}
}
