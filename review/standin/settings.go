//go:build review

package standin

// Settings returns the settings of one intake server of a small deployment, in the form of the page "Wire protocol", section 12,
// with the figures of the site gebze: two classes, four tenants, two cores of the runtime.
func Settings() map[string]any {
	return map[string]any{
		"az":      0,
		"callers": map[string]any{"marks_retry": true},
		"classes": []any{
			map[string]any{"name": "trace", "repeat": "repeatable", "aim_s": 2.2, "deadline_s": 5.7, "worth": 1, "window_s": 5, "late_value": 0},
			map[string]any{"name": "excursion", "repeat": "by_key", "aim_s": 1.4, "deadline_s": 3.5, "worth": 3, "window_s": 10.422, "late_value": 0},
		},
		"domain": map[string]any{"blowup": 8, "caller_idle_s": 30, "calls_by_class": []any{false, false}, "clients_total": 3, "cold": false,
			"cores": 6, "depends_on": "off", "entry_kb": 80.57, "fresh_s": 0, "gauges": []any{"cpu_busy", "runnable", "mem_used", "sockets"},
			"halt": "abort", "passes_deadline": false, "ram_kb": 39138, "real_checks": true, "said_for_s": 1, "say": "threshold"},
		"fleet_size":       1,
		"over_share_worth": 0.05,
		"policy_limits":    map[string]any{"max_retry_after_s": 1, "retry_after": true},
		"rules": map[string]any{"answer_slack_s": 0.06, "cold_from": 0.2, "drain_grace_s": 1.8, "fall_multiple": 8, "overload_for_s": 2,
			"warm_after_s": 18},
		"tenants":  []any{Tenant("marmara-gida", 51), Tenant("ege-sut", 43), Tenant("kuzey-ilac", 37), Tenant("toros-meyve", 29)},
		"zones":    []any{"gebze"},
		"worth_by": "request",
	}
}

// Tenant returns the settings of one tenant.
func Tenant(name string, quota float64) map[string]any {
	return map[string]any{"name": name, "quota_per_s": quota}
}

// NewConfig returns a configuration with these settings, with the limits of the page "Deployment". The addresses of the catalog and
// the index are loopback addresses at which nobody listens, unless the case replaces them.
func NewConfig(runtime string, settings map[string]any) (Config, error) {
	config := Config{"name": "n3", "runtime": runtime, "seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings}
	for _, key := range []string{"listen", "directory", "index"} {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		config[key] = address
	}
	return config, nil
}
