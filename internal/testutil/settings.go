package testutil

import "thymechute/policy/settings"

// TypedSettings returns the settings of a server with two cores and three classes, as decoded: class 0 is safe, 1 idempotent (with
// a key) and 2 non-idempotent. change may modify the settings unless it is nil.
func TypedSettings(change func(*settings.Settings)) settings.Settings {
	s := settings.Settings{Server: settings.Server{
		Cores:                 settings.NumberOf(2),
		MemoryKB:              settings.NumberOf(1000),
		RunMemoryFactor:       settings.NumberOf(4),
		KeyEntryKB:            settings.NumberOf(20),
		MaxConcurrencyPerCore: settings.NumberOf(4),
		StopMode:              settings.StopAbort,
		MaxRetryAfter:         settings.NumberOf(1),
		Dependency:            settings.DependencyShared,
		CallQuota:             settings.NumberOf(2),
		CallLinger:            settings.NumberOf(0.2),
		DrainGrace:            settings.NumberOf(1),
	}}
	idempotencies := []settings.Idempotency{settings.Safe, settings.Idempotent, settings.NonIdempotent}
	for n, name := range []string{"safe", "keyed", "unsafe"} {
		s.Classes = append(s.Classes, settings.Class{
			Name:             name,
			Idempotency:      idempotencies[n],
			Weight:           settings.NumberOf(float64(n + 1)),
			LatencyObjective: settings.NumberOf(1),
			CallerTimeout:    settings.NumberOf(3),
			KeyWindow:        settings.NumberOf(10),
			MakesCalls:       settings.True,
		})
	}
	if change != nil {
		change(&s)
	}
	return s
}

// Settings returns the settings of a small deployment, by the keys of the configuration file, with the classes trace (safe),
// excursion (idempotent, with a key) and seal (non-idempotent).
func Settings() map[string]any {
	repeatValues := []string{"repeatable", "by_key", "once"}
	var classes []any
	for n, name := range []string{"trace", "excursion", "seal"} {
		classes = append(classes, map[string]any{
			"name":       name,
			"repeat":     repeatValues[n],
			"worth":      n + 1,
			"aim_s":      20,
			"deadline_s": 30,
			"window_s":   60,
			"late_value": 0,
		})
	}
	return map[string]any{
		"classes":       classes,
		"tenants":       []any{map[string]any{"name": "acme", "quota_per_s": 1000}},
		"fleet_size":    1,
		"rules":         map[string]any{"drain_grace_s": 0.3, "fall_multiple": 8},
		"policy_limits": map[string]any{"max_retry_after_s": 1, "retry_after": true},
		"domain": map[string]any{
			"cores":          4,
			"ram_kb":         100000,
			"blowup":         2,
			"entry_kb":       1,
			"halt":           "abort",
			"say":            "threshold",
			"depends_on":     "shared",
			"dep_share":      50,
			"dep_window_s":   5,
			"linger_s":       0.2,
			"calls_by_class": []any{true, true, true},
			"degraded_worth": []any{0, 0, 0},
			"caller_idle_s":  30,
			"clients_total":  3,
			"gauges":         []any{"cpu_busy", "runnable"},
		},
	}
}

// SettingsSection returns a section of the settings in a configuration, such as domain.
func SettingsSection(config map[string]any, section string) map[string]any {
	return config["settings"].(map[string]any)[section].(map[string]any)
}

// SettingsClass returns the class with the given index of the settings in a configuration.
func SettingsClass(config map[string]any, index int) map[string]any {
	classes := config["settings"].(map[string]any)["classes"].([]any)
	return classes[index].(map[string]any)
}
