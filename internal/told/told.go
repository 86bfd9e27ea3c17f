// Package told owns the words in which a deployment states its settings, and turns them into the plain map
// that the decision module takes. Both adapters share it. It puts later settings over those in force, and says
// which can't be meant. It must never hold a value of its own, nor leave out or bend a told one: what is missing stays
// missing, and the module chooses its own default.
package told

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"thymechute/policy"
)

// Site is what the settings say: the module's map, and the names that the adapters need.
type Site struct {
	Told                     map[string]any
	Gauges, Bands, Customers []string        // in the settings' order, those of later ones behind
	closed                   map[string]bool // bands that only earlier settings had
}

const mostNames = 1000 // of bands, and of customers, in the life of a process

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
	return Site{Told: told, Gauges: row(flat, "domain.gauges.", ""), Bands: row(flat, "classes.", ".name"),
		Customers: row(flat, "tenants.", ".name")}
}

// Over puts later settings over these, for a process that goes on: bands and customers that stand in both keep their
// index and get the later figures, those that no longer stand keep their figures for what is in hand, and are closed;
// new ones come behind. A band that would change its kind, or more than mostNames names, is a fault.
func (s Site) Over(later Site) (Site, error) {
	o := Site{Told: map[string]any{}, Gauges: later.Gauges}
	for k, v := range later.Told {
		if !strings.HasPrefix(k, "band.") && !strings.HasPrefix(k, "customer.") {
			o.Told[k] = v
		}
	}
	for _, name := range later.Bands {
		if old, now := s.Kind(name), later.Kind(name); old != "" && old != now {
			return s, fmt.Errorf("settings.classes: found %s as %q, expected %q while running", name, now, old)
		}
	}
	o.Bands, o.closed = over(o.Told, "band.", s, later, s.Bands, later.Bands)
	o.Customers, _ = over(o.Told, "customer.", s, later, s.Customers, later.Customers)
	if len(o.Bands) > mostNames || len(o.Customers) > mostNames {
		return s, fmt.Errorf("settings: found %d classes and %d tenants since the start, expected at most %d of each while running",
			len(o.Bands), len(o.Customers), mostNames)
	}
	return o, nil
}

// over lists the names of both, and writes the figures of each under its index.
func over(told map[string]any, at string, s, later Site, old, now []string) (names []string, closed map[string]bool) {
	figures := func(from Site, n int, name string) {
		before, to := at+strconv.Itoa(n)+".", at+strconv.Itoa(len(names))+"."
		for k, v := range from.Told {
			if word, ok := strings.CutPrefix(k, before); ok {
				told[to+word] = v
			}
		}
		names = append(names, name)
	}
	for n, name := range old {
		if m := slices.Index(now, name); m >= 0 {
			figures(later, m, name)
		} else {
			figures(s, n, name)
			if closed == nil {
				closed = map[string]bool{}
			}
			closed[name] = true
		}
	}
	for m, name := range now {
		if !slices.Contains(old, name) {
			figures(later, m, name)
		}
	}
	told[at+"count"] = float64(len(names))
	return names, closed
}

// Open tells whether new work of this band is taken.
func (s Site) Open(band string) bool { return !s.closed[band] }

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

// Fault names the first setting that can't be meant: its key, what was found and what is expected. What is left out,
// and what is not known here, is none.
func Fault(settings map[string]any) (key string, found any, want string) {
	flat := map[string]any{}
	flatten("", settings, flat)
	for _, key := range slices.Sorted(maps.Keys(flat)) {
		v, word := flat[key], unnumbered(key)
		class, inClass := strings.CutPrefix(word, "classes.")
		switch allowed := words[word]; {
		case allowed != nil:
			if text, ok := v.(string); !ok || !slices.Contains(allowed, text) {
				return key, v, "one of " + strings.Join(allowed, ", ")
			}
		case flags[word]:
			if _, ok := v.(bool); !ok {
				return key, v, "true or false"
			}
		case names[word] != "" || word == "domain.degraded_worth" || inClass && bandNames[class] != "" || word == "tenants.quota_per_s":
			x, ok := v.(float64)
			if !ok || x < 0 || x > 1e12 {
				return key, v, "a number from 0 to 1e12"
			}
			if at, ok := strings.CutSuffix(key, "aim_s"); ok && inClass {
				if latest, ok := flat[at+"deadline_s"].(float64); ok && x > latest {
					return key, v, fmt.Sprintf("at most its deadline_s, %g", latest)
				}
			}
		}
	}
	return "", nil, ""
}

// unnumbered is a key without the places in lists.
func unnumbered(key string) string {
	parts := slices.DeleteFunc(strings.Split(key, "."), func(part string) bool { return strings.Trim(part, "0123456789") == "" })
	return strings.Join(parts, ".")
}

// What may stand where a word or a flag is expected; every other setting that is read is a number.
var (
	words = map[string][]string{"domain.halt": {"off", "abort", "suspend"}, "domain.depends_on": {"off", "shared", "tier"},
		"domain.say": {"off", "threshold", "window", "share_of"}, "worth_by": {"request", "work"},
		"classes.repeat": {"repeatable", "by_key", "once"}}
	flags = map[string]bool{"domain.cold": true, "domain.readiness": true, "domain.calls_by_class": true,
		"policy_limits.retry_after": true}
)

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
	"domain.entry_kb": "receipt_kb", "domain.halt": "stop_mode",
	"domain.say": "free_value", "domain.cold": "cold", "domain.clients_total": "callers",
	"domain.caller_idle_s": "idle_s", "domain.depends_on": "below", "domain.dep_share": "calls_share",
	"domain.linger_s": "calls_linger_s", "domain.dep_window_s": "calls_window_s", "domain.readiness": "list_follows",
	"fleet_size": "fleet", "over_share_worth": "over_share_payoff", "worth_by": "payoff_by",
	"policy_limits.max_retry_after_s": "come_back_s", "policy_limits.retry_after": "come_back",
	"rules.cold_from": "cold_from", "rules.warm_after_s": "warm_s", "rules.drain_grace_s": "grace_s",
	"rules.fall_multiple": "crowd",
}

var bandNames = map[string]string{
	"aim_s": "due_s", "deadline_s": "patience_s", "repeat": "kind",
	"window_s": "window_s", "worth": "payoff",
}

var kinds = map[any]string{"repeatable": "pure", "by_key": "receipted", "once": "effectful"}

var customerNames = map[string]string{"quota_per_s": "share_per_s"}
