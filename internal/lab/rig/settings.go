// This file owns the settings that the rig's instances get, and the runs of their runtimes.

package rig

import "time"

// Classes of the rig's settings (safe, keyed, unsafe), and the times of all three.
const (
	Trace         = "trace"
	Excursion     = "excursion"
	Seal          = "seal"
	CallerTimeout = 30 * time.Second
	Window        = 120 * time.Second
)

// MemoryMB is the memory that an instance is given: a quarter holds the keys of half the messages of an experiment, within
// their window.
const MemoryMB = 96

// resultSize is the length in bytes of what a run returns.
const resultSize = 64

// Instant is a run that takes no time.
func Instant(string, []byte) (time.Duration, []byte) { return 0, make([]byte, resultSize) }

// Brief is a run that takes a while, so that cuts find some at work.
func Brief(string, []byte) (time.Duration, []byte) { return time.Millisecond, make([]byte, resultSize) }

// deployment is the settings of a small deployment with many cores, so that what is measured is the program.
func deployment() map[string]any {
	var classes []any
	for n, c := range [][2]string{{Trace, "repeatable"}, {Excursion, "by_key"}, {Seal, "once"}} {
		classes = append(classes, map[string]any{"name": c[0], "repeat": c[1], "worth": n + 1, "aim_s": CallerTimeout.Seconds(),
			"deadline_s": CallerTimeout.Seconds(), "window_s": Window.Seconds(), "late_value": 0})
	}
	return map[string]any{"classes": classes, "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 1e6}},
		"fleet_size": 2, "rules": map[string]any{"drain_grace_s": 1, "fall_multiple": 8},
		"policy_limits": map[string]any{"max_retry_after_s": 1, "retry_after": true},
		"domain": map[string]any{"cores": 16, "ram_kb": 1e7, "blowup": 2, "entry_kb": 0.1, "halt": "abort", "say": "threshold",
			"depends_on": "shared", "dep_share": 50, "dep_window_s": 5, "linger_s": 0.2, "calls_by_class": []any{false, false, false},
			"degraded_worth": []any{0, 0, 0}, "caller_idle_s": 30, "clients_total": 3, "gauges": []any{"cpu_busy", "runnable"}}}
}
