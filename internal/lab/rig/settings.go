package rig

import "time"

// The classes of the rig's settings.
const (
	ClassTrace     = "trace"     // safe to repeat
	ClassExcursion = "excursion" // idempotent by its key
	ClassSeal      = "seal"      // not idempotent
)

// Times of all three classes.
const (
	CallerTimeout     = 30 * time.Second
	IdempotencyWindow = 120 * time.Second
)

// MemoryMB is the memory limit of an instance. A quarter of it holds the keys of half the messages of an experiment within
// the idempotency window.
const MemoryMB = 96

const resultBytes = 64 // of a run's result

// ImmediateRun is the work of a fake runtime that takes no time.
func ImmediateRun(string, []byte) (time.Duration, []byte) { return 0, make([]byte, resultBytes) }

// ShortRun is the work of a fake runtime that takes a millisecond, so that faults interrupt some of it.
func ShortRun(string, []byte) (time.Duration, []byte) {
	return time.Millisecond, make([]byte, resultBytes)
}

// deployment returns the settings of a small deployment with many cores, so that the program itself is the bottleneck.
func deployment() map[string]any {
	var classes []any
	for n, class := range []struct{ name, idempotency string }{
		{ClassTrace, "repeatable"}, {ClassExcursion, "by_key"}, {ClassSeal, "once"},
	} {
		classes = append(classes, map[string]any{"name": class.name, "repeat": class.idempotency, "worth": n + 1, "aim_s": CallerTimeout.Seconds(),
			"deadline_s": CallerTimeout.Seconds(), "window_s": IdempotencyWindow.Seconds(), "late_value": 0})
	}
	return map[string]any{"classes": classes, "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 1e6}},
		"fleet_size": 2, "rules": map[string]any{"drain_grace_s": 1, "fall_multiple": 8},
		"policy_limits": map[string]any{"max_retry_after_s": 1, "retry_after": true},
		"domain": map[string]any{"cores": 16, "ram_kb": 1e7, "blowup": 2, "entry_kb": 0.1, "halt": "abort", "say": "threshold",
			"depends_on": "shared", "dep_share": 50, "dep_window_s": 5, "linger_s": 0.2, "calls_by_class": []any{false, false, false},
			"degraded_worth": []any{0, 0, 0}, "caller_idle_s": 30, "clients_total": 3, "gauges": []any{"cpu_busy", "runnable"}}}
}
