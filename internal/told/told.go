// Package told owns the words in which a deployment states its settings, and turns them into the plain map
// that the decision module takes. Both adapters share it. It must never hold a value of its own, nor leave out
// or bend a told one: what is missing stays missing, and the module chooses its own default.
package told

import (
	"strconv"

	"thymechute/policy"
)

// Site is what the settings say: the module's map, and the names that the adapters need.
type Site struct {
	Told                     map[string]any
	Gauges, Bands, Customers []string // in the settings' order
}

// Read takes the settings as decoded JSON.
func Read(settings map[string]any) Site {
	flat, told := map[string]any{}, map[string]any{}
	flatten("", settings, flat)
	for from, to := range names {
		if v, ok := flat[from]; ok {
			told[to] = v
		}
	}
	list(flat, told, "classes.", "band.", bandNames)
	list(flat, told, "tenants.", "customer.", customerNames)
	for i := 0; ; i++ {
		n := strconv.Itoa(i)
		calls, ok1 := flat["domain.calls_by_class."+n]
		poorer, ok2 := flat["domain.degraded_worth."+n]
		if !ok1 && !ok2 {
			break
		}
		told["band."+n+".calls"], told["band."+n+".poorer"] = calls, poorer
	}
	return Site{told, row(flat, "domain.gauges.", ""), row(flat, "classes.", ".name"), row(flat, "tenants.", ".name")}
}

// Kind of a band by its name: pure, receipted or effectful; empty: no such band, or it is not told.
func (s Site) Kind(band string) string {
	for i, name := range s.Bands {
		if name == band {
			kind, _ := s.Told["band."+strconv.Itoa(i)+".kind"].(string)
			return kind
		}
	}
	return ""
}

// NoReadings are gauges of which nothing is offered.
var NoReadings = policy.Gauges{Busy: -1, Runnable: -1}

// Readings are a row of gauges, which come in the settings' order.
func (s Site) Readings(row []float64) policy.Gauges {
	g := NoReadings
	for i, name := range s.Gauges[:min(len(s.Gauges), len(row))] {
		switch name {
		case "cpu_busy":
			g.Busy = row[i]
		case "runnable":
			g.Runnable = row[i]
		}
	}
	return g
}

// row returns the texts of one list until the first that is missing.
func row(flat map[string]any, before, after string) (texts []string) {
	for i := 0; ; i++ {
		text, ok := flat[before+strconv.Itoa(i)+after].(string)
		if !ok {
			return texts
		}
		texts = append(texts, text)
	}
}

// flatten writes a JSON value's leaves under dotted names; numbers stay float64.
func flatten(at string, v any, into map[string]any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(at+"."+k, x, into)
		}
	case []any:
		for i, x := range v {
			flatten(at+"."+strconv.Itoa(i), x, into)
		}
	case nil:
	default:
		into[at[1:]] = v
	}
}

// list renames the entries of one list, and counts them.
func list(flat, into map[string]any, from, to string, words map[string]string) {
	for i := 0; ; i++ {
		n, found := strconv.Itoa(i), false
		for word, ours := range words {
			if v, ok := flat[from+n+"."+word]; ok {
				found = true
				if kind, ok := kinds[v]; ok && ours == "kind" {
					v = kind
				}
				into[to+n+"."+ours] = v
			}
		}
		if !found {
			into[to+"count"] = float64(i)
			return
		}
	}
}

// The settings' names and ours.
var names = map[string]string{
	"domain.cores": "cores", "domain.ram_kb": "memory_kb", "domain.blowup": "run_memory",
	"domain.entry_kb": "receipt_kb", "domain.fresh_s": "fresh_s", "domain.halt": "stop_mode",
	"domain.say": "free_value", "domain.cold": "cold", "domain.clients_total": "callers",
	"domain.caller_idle_s": "idle_s", "domain.depends_on": "below", "domain.dep_share": "calls_share",
	"domain.readiness": "list_follows", "domain.said_for_s": "said_for_s", "domain.linger_s": "calls_linger_s", "domain.dep_window_s": "calls_window_s",
	"fleet_size": "fleet", "over_share_worth": "over_share_payoff", "worth_by": "payoff_by",
	"policy_limits.max_retry_after_s": "come_back_s", "policy_limits.retry_after": "come_back",
	"rules.cold_from": "cold_from", "rules.warm_after_s": "warm_s", "rules.drain_grace_s": "grace_s",
	"rules.fall_multiple": "crowd",
}

var bandNames = map[string]string{
	"aim_s": "due_s", "deadline_s": "patience_s", "late_value": "late_payoff", "repeat": "kind",
	"window_s": "window_s", "worth": "payoff",
}

var kinds = map[any]string{"repeatable": "pure", "by_key": "receipted", "once": "effectful"}

var customerNames = map[string]string{"quota_per_s": "share_per_s"}
