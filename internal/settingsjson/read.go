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

// ValueError is one value that can't be meant: its key in dotted form, what was found and what is expected.
type ValueError struct{ Key, Found, Expected string }

func (f *ValueError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", f.Key, f.Found, f.Expected)
}

// tenantChunk is how many tenants are read at a time.
const tenantChunk = 1024

// maxFoundBytes is how much of a found value a fault shows.
const maxFoundBytes = 60

// Decode reads one object from the decoder. A leaf that can't be meant stays missing, and the first such is the fault:
// a caller that takes no faulty settings refuses them whole by it. Errors: JSON that is none, and a *Fault where the
// lists can't be read at all (no object or list, more entries than their bounds); the settings are empty then.
func Decode(in *json.Decoder) (settings.Settings, *ValueError, error) {
	r := decoder{in: in}
	if err := r.object(); err != nil {
		return settings.Settings{}, nil, err
	}
	return r.settings(), r.firstError, nil
}

// Parse reads a text that holds one object and nothing more; results and errors are Decode's.
func Parse(text string) (settings.Settings, *ValueError, error) {
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

// decoder holds what was read until the end, as a list of one section belongs to the entries of another.
type decoder struct {
	in         *json.Decoder
	top        section
	classes    []settings.Class
	tenants    [][]settings.Tenant // in chunks, so that a long list is not copied again and again
	firstError *ValueError
}

// object reads the whole object, list by list.
func (r *decoder) object() error {
	start, err := r.in.Token()
	if err != nil {
		return err
	}
	if start != json.Delim('{') {
		return &ValueError{"settings", describeToken(start), "an object"}
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
func (r *decoder) list(key string, most int, entry func(place int) error) error {
	start, err := r.in.Token()
	switch {
	case err != nil:
		return err
	case start == nil:
		return nil
	case start != json.Delim('['):
		return &ValueError{"settings." + key, describeToken(start), "a list"}
	}
	for place := 0; r.in.More(); place++ {
		if place >= most {
			return &ValueError{"settings." + key, fmt.Sprintf("more than %d", most), fmt.Sprintf("at most %d", most)}
		}
		if err := entry(place); err != nil {
			return err
		}
	}
	_, err = r.in.Token()
	return err
}

// readClasses keeps nothing of an entry but what a Class holds; the lists of the domain add to it.
func (r *decoder) readClasses() error {
	r.classes = nil
	seen := newNameDigests()
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
func (r *decoder) readTenants() error {
	r.tenants = nil
	seen := newNameDigests()
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
		if last < 0 || len(r.tenants[last]) == tenantChunk {
			r.tenants = append(r.tenants, make([]settings.Tenant, 0, tenantChunk))
			last++
		}
		r.tenants[last] = append(r.tenants[last], tenant)
		return nil
	})
}

// tenant reads one entry. There may be many: it is read in place, which takes half of what decoding by reflection does.
func (r *decoder) tenant(place int, raw json.RawMessage) (tenant settings.Tenant) {
	if isMissing(raw) {
		return tenant
	}
	entry := jsonline.New(raw)
	var name, quota []byte
	err := entry.Object(func(key []byte) (err error) {
		switch string(key) {
		case "name":
			name, err = entry.Raw()
		case "quota_per_s":
			quota, err = entry.Raw()
		default:
			_, err = entry.Raw()
		}
		return err
	})
	if err != nil {
		r.fail(fmt.Sprint("tenants.", place), compact(raw), "an object")
	}
	if !isMissing(name) {
		text, err := jsonline.New(name).Text()
		if err != nil {
			r.fail(fmt.Sprintf("tenants.%d.name", place), compact(name), "a text")
		}
		tenant.Name = string(text)
	}
	if quota != nil {
		var n numberValue
		if _ = n.UnmarshalJSON(quota); n.found != "" {
			r.fail(fmt.Sprintf("tenants.%d.quota_per_s", place), n.found, expectedNumber)
		}
		tenant.Quota = n.value
	}
	return tenant
}

// fail keeps the first fault.
func (r *decoder) fail(key, found, want string) {
	if r.firstError == nil {
		r.firstError = &ValueError{"settings." + key, found, want}
	}
}

// settings makes the typed value of all that was read.
func (r *decoder) settings() settings.Settings {
	s := settings.Settings{Server: r.server(), Classes: r.classes, Tenants: slices.Concat(r.tenants...)}
	domain := r.section("domain")
	calls := decodeEntries(r, domain, "calls_by_class", r.flag)
	degraded := decodeEntries(r, domain, "degraded_worth", r.number)
	for place := range min(len(calls), len(s.Classes)) {
		s.Classes[place].MakesCalls = calls[place]
	}
	for place := range min(len(degraded), len(s.Classes)) {
		s.Classes[place].DegradedWeight = degraded[place]
	}
	return s
}

func (r *decoder) class(at string, from section) settings.Class {
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

func (r *decoder) server() settings.Server {
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
func (r *decoder) name(list string, place int, name string, seen nameDigests, standing func(name string) bool) {
	if name == "" {
		return
	}
	key := func() string { return fmt.Sprintf("%s.%d.name", list, place) }
	if len(name) > settings.MaxName {
		r.fail(key(), fmt.Sprint(len(name), " bytes"), fmt.Sprintf("at most %d", settings.MaxName))
	}
	if seen.add(name) && standing(name) {
		r.fail(key(), fmt.Sprintf("%.60q a second time", name), "a name that stands once")
	}
}

// nameDigests are of the names of one list: a table of them takes a third of the time of one of the names.
type nameDigests struct {
	seed maphash.Seed
	seen map[uint64]struct{}
}

func newNameDigests() nameDigests { return nameDigests{maphash.MakeSeed(), map[uint64]struct{}{}} }

// add notes a name, and tells whether it, or very seldom another, was noted before.
func (d nameDigests) add(name string) bool {
	digest := maphash.String(d.seed, name)
	_, again := d.seen[digest]
	d.seen[digest] = struct{}{}
	return again
}
