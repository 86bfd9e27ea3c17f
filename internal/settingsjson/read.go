// Package settingsjson reads what the platform says of an instance, as JSON, into typed settings, and says what of it
// can't be meant. Both programs read by it: thymechute from its file, benchlink from the simulator's line. Unknown keys
// are ignored, null counts as missing. It must never keep a second form of what it reads: tenants, of which there may be
// many, are read one by one. It has no tables of its own.
package settingsjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"slices"
	"strings"

	"thymechute/internal/jsonline"
	"thymechute/policy/settings"
)

// Fault is one value that can't be meant: its key in dotted form, what was found and what is expected.
type Fault struct{ Key, Found, Want string }

func (f *Fault) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", f.Key, f.Found, f.Want)
}

// chunk is how many tenants are read at a time.
const chunk = 1024

// longestFound is how much of a found value a fault shows.
const longestFound = 60

// Decode reads one object from the decoder. A leaf that can't be meant stays missing, and the first such is the fault:
// a caller that takes no faulty settings refuses them whole by it. Errors: JSON that is none, and a *Fault where the
// lists can't be read at all (no object or list, more entries than their bounds); the settings are empty then.
func Decode(in *json.Decoder) (settings.Settings, *Fault, error) {
	r := reader{in: in}
	if err := r.object(); err != nil {
		return settings.Settings{}, nil, err
	}
	return r.settings(), r.fault, nil
}

// Parse reads a text that holds one object and nothing more; results and errors are Decode's.
func Parse(text string) (settings.Settings, *Fault, error) {
	in := json.NewDecoder(strings.NewReader(text))
	s, fault, err := Decode(in)
	if err != nil {
		return s, fault, err
	}
	if _, err := in.Token(); err != io.EOF {
		return settings.Settings{}, nil, errors.New("more behind the object")
	}
	return s, fault, nil
}

// reader holds what was read until the end, as a list of one section belongs to the entries of another.
type reader struct {
	in      *json.Decoder
	top     section
	classes []settings.Class
	tenants [][]settings.Tenant // in chunks, so that a long list is not copied again and again
	fault   *Fault
}

// object reads the whole object, list by list.
func (r *reader) object() error {
	start, err := r.in.Token()
	if err != nil {
		return err
	}
	if start != json.Delim('{') {
		return &Fault{"settings", shown(start), "an object"}
	}
	r.top = section{}
	for r.in.More() {
		key, err := r.in.Token()
		if err != nil {
			return err
		}
		switch key {
		case "classes":
			err = r.readClasses()
		case "tenants":
			err = r.readTenants()
		default:
			var raw json.RawMessage
			err = r.in.Decode(&raw)
			r.top[key.(string)] = raw
		}
		if err != nil {
			return err
		}
	}
	_, err = r.in.Token()
	return err
}

// list reads a list entry by entry; null is an empty one.
func (r *reader) list(key string, most int, entry func(place int) error) error {
	start, err := r.in.Token()
	switch {
	case err != nil:
		return err
	case start == nil:
		return nil
	case start != json.Delim('['):
		return &Fault{"settings." + key, shown(start), "a list"}
	}
	for place := 0; r.in.More(); place++ {
		if place >= most {
			return &Fault{"settings." + key, fmt.Sprintf("more than %d", most), fmt.Sprintf("at most %d", most)}
		}
		if err := entry(place); err != nil {
			return err
		}
	}
	_, err = r.in.Token()
	return err
}

// readClasses keeps nothing of an entry but what a Class holds; the lists of the domain add to it.
func (r *reader) readClasses() error {
	r.classes = nil
	seen := newDigests()
	standing := func(name string) bool {
		return slices.ContainsFunc(r.classes, func(class settings.Class) bool { return class.Name == name })
	}
	var entry section // of one after the other
	return r.list("classes", settings.MaxClasses, func(place int) error {
		clear(entry)
		err := r.in.Decode(&entry)
		if mismatch := (*json.UnmarshalTypeError)(nil); err != nil && errors.As(err, &mismatch) {
			r.fail(fmt.Sprint("classes.", place), "a "+mismatch.Value, "an object")
			err = nil
		}
		class := r.class(fmt.Sprint("classes.", place), entry)
		r.name("classes", place, class.Name, seen, standing)
		r.classes = append(r.classes, class)
		return err
	})
}

// readTenants keeps nothing of an entry but what a Tenant holds.
func (r *reader) readTenants() error {
	r.tenants = nil
	seen := newDigests()
	standing := func(name string) bool {
		named := func(tenant settings.Tenant) bool { return tenant.Name == name }
		return slices.ContainsFunc(r.tenants, func(chunk []settings.Tenant) bool { return slices.ContainsFunc(chunk, named) })
	}
	var raw json.RawMessage // of one entry after the other
	return r.list("tenants", settings.MaxTenants, func(place int) error {
		if err := r.in.Decode(&raw); err != nil {
			return err
		}
		tenant := r.tenant(place, raw)
		r.name("tenants", place, tenant.Name, seen, standing)
		last := len(r.tenants) - 1
		if last < 0 || len(r.tenants[last]) == chunk {
			r.tenants = append(r.tenants, make([]settings.Tenant, 0, chunk))
			last++
		}
		r.tenants[last] = append(r.tenants[last], tenant)
		return nil
	})
}

// tenant reads one entry. There may be many: it is read in place, which takes half of what decoding by reflection does.
func (r *reader) tenant(place int, raw json.RawMessage) (tenant settings.Tenant) {
	if missing(raw) {
		return tenant
	}
	entry := jsonline.NewReader(raw)
	var name, quota []byte
	err := entry.ReadObject(func(key []byte) (err error) {
		switch string(key) {
		case "name":
			name, err = entry.ReadRaw()
		case "quota_per_s":
			quota, err = entry.ReadRaw()
		default:
			_, err = entry.ReadRaw()
		}
		return err
	})
	if err != nil {
		r.fail(fmt.Sprint("tenants.", place), compact(raw), "an object")
	}
	if !missing(name) {
		text, err := jsonline.NewReader(name).ReadString()
		if err != nil {
			r.fail(fmt.Sprintf("tenants.%d.name", place), compact(name), "a text")
		}
		tenant.Name = string(text)
	}
	if quota != nil {
		var n number
		if _ = n.UnmarshalJSON(quota); n.found != "" {
			r.fail(fmt.Sprintf("tenants.%d.quota_per_s", place), n.found, wantNumber)
		}
		tenant.Quota = n.value
	}
	return tenant
}

// fail keeps the first fault.
func (r *reader) fail(key, found, want string) {
	if r.fault == nil {
		r.fault = &Fault{"settings." + key, found, want}
	}
}

// settings makes the typed value of all that was read.
func (r *reader) settings() settings.Settings {
	s := settings.Settings{Server: r.server(), Classes: r.classes, Tenants: slices.Concat(r.tenants...)}
	domain := r.section("domain")
	calls := each(r, domain, "calls_by_class", r.flag)
	degraded := each(r, domain, "degraded_worth", r.number)
	for place := range min(len(calls), len(s.Classes)) {
		s.Classes[place].MakesCalls = calls[place]
	}
	for place := range min(len(degraded), len(s.Classes)) {
		s.Classes[place].DegradedWeight = degraded[place]
	}
	return s
}

func (r *reader) class(at string, from section) settings.Class {
	c := settings.Class{
		Name:             r.text(at, "name", from),
		Idempotency:      settings.Idempotency(r.word(at, "repeat", from, "repeatable", "by_key", "once")),
		Weight:           r.number(at, "worth", from),
		LatencyObjective: r.number(at, "aim_s", from),
		CallerTimeout:    r.number(at, "deadline_s", from),
		KeyWindow:        r.number(at, "window_s", from),
	}
	if latest := c.CallerTimeout.Or(c.LatencyObjective.Or(0)); c.LatencyObjective.Or(0) > latest {
		r.fail(at+".aim_s", compact(from["aim_s"]), fmt.Sprintf("at most its deadline_s, %g", latest))
	}
	return c
}

func (r *reader) server() settings.Server {
	domain, rules, limits := r.section("domain"), r.section("rules"), r.section("policy_limits")
	s := settings.Server{
		Cores:                 r.number("domain", "cores", domain),
		MemoryKB:              r.number("domain", "ram_kb", domain),
		RunMemoryFactor:       r.number("domain", "blowup", domain),
		KeyEntryKB:            r.number("domain", "entry_kb", domain),
		StopMode:              settings.StopMode(r.word("domain", "halt", domain, "off", "abort", "suspend")),
		Dependency:            settings.Dependency(r.word("domain", "depends_on", domain, "off", "shared", "tier")),
		CallQuota:             r.number("domain", "dep_share", domain),
		CallLinger:            r.number("domain", "linger_s", domain),
		CallQuotaWindow:       r.number("domain", "dep_window_s", domain),
		AdvertiseMode:         settings.AdvertiseMode(r.word("domain", "say", domain, "off", "threshold", "window", "share_of")),
		CallerCount:           r.number("domain", "clients_total", domain),
		CallerIdleTimeout:     r.number("domain", "caller_idle_s", domain),
		EndpointsFollowHealth: r.flag("domain", "readiness", domain),
		SlowStart:             r.flag("domain", "cold", domain),
		FleetSize:             r.number("", "fleet_size", r.top),
		OverQuotaWeight:       r.number("", "over_share_worth", r.top),
		RetryAfter:            r.flag("policy_limits", "retry_after", limits),
		MaxRetryAfter:         r.number("policy_limits", "max_retry_after_s", limits),
		SlowStartFraction:     r.number("rules", "cold_from", rules),
		WarmUpTime:            r.number("rules", "warm_after_s", rules),
		DrainGrace:            r.number("rules", "drain_grace_s", rules),
		MaxConcurrencyPerCore: r.number("rules", "fall_multiple", rules),
	}
	if by := r.word("", "worth_by", r.top, "request", "work"); by != "" {
		s.WeightPerWork = settings.FlagOf(by == "work")
	}
	for place, raw := range r.entries(domain, "gauges") {
		switch strings.Trim(string(raw), `"`) {
		case "cpu_busy":
			s.BusyGauge = place + 1
		case "runnable":
			s.RunnableGauge = place + 1
		}
	}
	return s
}

// name checks that a name stands once in its list, and fits; standing tells whether it stands before this place.
func (r *reader) name(list string, place int, name string, seen digests, standing func(name string) bool) {
	if name == "" {
		return
	}
	key := func() string { return fmt.Sprintf("%s.%d.name", list, place) }
	if len(name) > settings.MaxNameBytes {
		r.fail(key(), fmt.Sprint(len(name), " bytes"), fmt.Sprintf("at most %d", settings.MaxNameBytes))
	}
	if seen.again(name) && standing(name) {
		r.fail(key(), fmt.Sprintf("%.60q a second time", name), "a name that stands once")
	}
}

// digests are of the names of one list: a table of them takes a third of the time of one of the names.
type digests struct {
	seed maphash.Seed
	seen map[uint64]struct{}
}

func newDigests() digests { return digests{maphash.MakeSeed(), map[uint64]struct{}{}} }

// again notes a name, and tells whether it, or very seldom another, was noted before.
func (d digests) again(name string) bool {
	digest := maphash.String(d.seed, name)
	_, again := d.seen[digest]
	d.seen[digest] = struct{}{}
	return again
}
