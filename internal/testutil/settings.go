package testutil

import "thymechute/policy/settings"

// TypedSettings are those of a server of two cores, with a change if there is one; class 0 is safe, 1 keyed, 2 unsafe.
func TypedSettings(change func(*settings.Settings)) settings.Settings {
	s := settings.Settings{Server: settings.Server{
		Cores: settings.NumberOf(2), MemoryKB: settings.NumberOf(1000), RunMemoryFactor: settings.NumberOf(4), KeyEntryKB: settings.NumberOf(20),
		MaxConcurrencyPerCore: settings.NumberOf(4), StopMode: settings.StopAbort, MaxRetryAfter: settings.NumberOf(1), Dependency: settings.DependencyShared,
		CallQuota: settings.NumberOf(2), CallLinger: settings.NumberOf(0.2), DrainGrace: settings.NumberOf(1),
	}}
	for n, name := range []string{"safe", "keyed", "unsafe"} {
		s.Classes = append(s.Classes, settings.Class{
			Name: name, Idempotency: []settings.Idempotency{settings.Safe, settings.Idempotent, settings.NonIdempotent}[n], Weight: settings.NumberOf(float64(n + 1)),
			LatencyObjective: settings.NumberOf(1), CallerTimeout: settings.NumberOf(3), KeyWindow: settings.NumberOf(10), MakesCalls: settings.True,
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
