package settingsjson

import (
	"strings"

	"thymechute/policy/settings"
)

// server returns the settings of the server as a whole: those that belong to neither a class nor a tenant.
func (d *decoder) server() settings.Server {
	domain := d.section("domain")
	rules := d.section("rules")
	limits := d.section("policy_limits")
	server := settings.Server{
		Cores:                 d.number("domain", "cores", domain),
		MemoryKB:              d.number("domain", "ram_kb", domain),
		RunMemoryFactor:       d.number("domain", "blowup", domain),
		KeyEntryKB:            d.number("domain", "entry_kb", domain),
		StopMode:              settings.StopMode(d.enum("domain", "halt", domain, "off", "abort", "suspend")),
		Dependency:            settings.Dependency(d.enum("domain", "depends_on", domain, "off", "shared", "tier")),
		CallQuota:             d.number("domain", "dep_share", domain),
		CallLinger:            d.number("domain", "linger_s", domain),
		CallQuotaWindow:       d.number("domain", "dep_window_s", domain),
		AdvertiseMode:         settings.AdvertiseMode(d.enum("domain", "say", domain, "off", "threshold", "window", "share_of")),
		CallerCount:           d.number("domain", "clients_total", domain),
		CallerIdleTimeout:     d.number("domain", "caller_idle_s", domain),
		EndpointsFollowHealth: d.flag("domain", "readiness", domain),
		SlowStart:             d.flag("domain", "cold", domain),
		FleetSize:             d.number("", "fleet_size", d.topLevel),
		OverQuotaWeight:       d.number("", "over_share_worth", d.topLevel),
		RetryAfter:            d.flag("policy_limits", "retry_after", limits),
		MaxRetryAfter:         d.number("policy_limits", "max_retry_after_s", limits),
		SlowStartFraction:     d.number("rules", "cold_from", rules),
		WarmUpTime:            d.number("rules", "warm_after_s", rules),
		DrainGrace:            d.number("rules", "drain_grace_s", rules),
		MaxConcurrencyPerCore: d.number("rules", "fall_multiple", rules),
	}
	if unit := d.enum("", "worth_by", d.topLevel, "request", "work"); unit != "" {
		server.WeightPerWork = settings.FlagOf(unit == "work")
	}
	d.applyGauges(&server, domain)
	return server
}

// applyGauges sets the positions of the known gauges in the runtime's readings, counted from 1.
func (d *decoder) applyGauges(server *settings.Server, domain section) {
	for index, raw := range d.list(domain, "gauges") {
		switch strings.Trim(string(raw), `"`) {
		case "cpu_busy":
			server.BusyGauge = index + 1
		case "runnable":
			server.RunnableGauge = index + 1
		}
	}
}
