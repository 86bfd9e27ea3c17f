// This file owns the decision module's host written down, and settings typed and in the deployment's words.

package testutil

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"thymechute/policy/settings"
)

// Book is a module's host that writes down what it is told to do.
type Book struct{ Lines []string }

func (b *Book) put(format string, args ...any) {
	b.Lines = append(b.Lines, fmt.Sprintf(format, args...))
}

func (b *Book) Start(w int) { b.put("start %d", w) }
func (b *Book) Stop(w int)  { b.put("stop %d", w) }
func (b *Book) Reject(w int, comeBack time.Duration, no bool) {
	b.put("reject %d no=%v after=%v", w, no, comeBack)
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

// TypedSettings are those of a server of two cores, with a change if there is one; class 0 is safe, 1 keyed, 2 unsafe.
func TypedSettings(change func(*settings.Settings)) settings.Settings {
	s := settings.Settings{Server: settings.Server{
		Cores: settings.Of(2), MemoryKB: settings.Of(1000), RunMemory: settings.Of(4), KeyEntryKB: settings.Of(20),
		Crowd: settings.Of(4), Stop: settings.StopAbort, MaxRetryAfter: settings.Of(1), Below: settings.BelowShared,
		Calls: settings.Of(2), CallsLinger: settings.Of(0.2), Grace: settings.Of(1),
	}}
	for n, name := range []string{"safe", "keyed", "unsafe"} {
		s.Classes = append(s.Classes, settings.Class{
			Name: name, Kind: []settings.Kind{settings.Safe, settings.Keyed, settings.Unsafe}[n], Value: settings.Of(float64(n + 1)),
			Deadline: settings.Of(1), CallerTimeout: settings.Of(3), KeyWindow: settings.Of(10), Calls: settings.True,
		})
	}
	if change != nil {
		change(&s)
	}
	return s
}

// Settings are those of a small site, in the deployment's words: classes trace, excursion and seal, of which the
// second is keyed and the third unsafe.
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
