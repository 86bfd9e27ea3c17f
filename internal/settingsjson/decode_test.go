package settingsjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

// parse encodes a value as JSON and decodes that as settings.
func parse(t *testing.T, value any) (settings.Settings, *ValueError, error) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(string(text))
}

// settingsWithClasses returns settings with classes. Its arguments are pairs of a name and an idempotency; the weight of a
// class is the index of its name among the arguments.
func settingsWithClasses(classes ...string) map[string]any {
	var list []any
	for n := 0; n < len(classes); n += 2 {
		list = append(list, map[string]any{"name": classes[n], "repeat": classes[n+1], "worth": float64(n)})
	}
	return map[string]any{"classes": list, "worth_by": "work", "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 5.0}}}
}

// tenants returns count tenants with distinct names, each with its index as the quota.
func tenants(count int) []any {
	list := make([]any, count)
	for index := range list {
		list[index] = map[string]any{"name": fmt.Sprint("t", index), "quota_per_s": index}
	}
	return list
}

func TestAllSettingsAreDecoded(t *testing.T) {
	s, invalid, err := parse(t, testutil.Settings())
	if invalid != nil || err != nil {
		t.Fatal(invalid, err)
	}
	want := settings.Server{
		Cores:                 settings.NumberOf(4),
		MemoryKB:              settings.NumberOf(100000),
		RunMemoryFactor:       settings.NumberOf(2),
		KeyEntryKB:            settings.NumberOf(1),
		StopMode:              settings.StopAbort,
		Dependency:            settings.DependencyShared,
		CallQuota:             settings.NumberOf(50),
		CallLinger:            settings.NumberOf(0.2),
		CallQuotaWindow:       settings.NumberOf(5),
		AdvertiseMode:         settings.AdvertiseThreshold,
		CallerCount:           settings.NumberOf(3),
		CallerIdleTimeout:     settings.NumberOf(30),
		FleetSize:             settings.NumberOf(1),
		RetryAfter:            settings.True,
		MaxRetryAfter:         settings.NumberOf(1),
		DrainGrace:            settings.NumberOf(0.3),
		MaxConcurrencyPerCore: settings.NumberOf(8),
		BusyGauge:             1,
		RunnableGauge:         2,
	}
	if s.Server != want {
		t.Errorf("got %+v, want %+v", s.Server, want)
	}
	seal := settings.Class{
		Name:             "seal",
		Idempotency:      settings.NonIdempotent,
		Weight:           settings.NumberOf(3),
		DegradedWeight:   settings.NumberOf(0),
		MakesCalls:       settings.True,
		LatencyObjective: settings.NumberOf(20),
		CallerTimeout:    settings.NumberOf(30),
		KeyWindow:        settings.NumberOf(60),
	}
	if len(s.Classes) != 3 || s.Classes[2] != seal {
		t.Errorf("classes: got %+v", s.Classes)
	}
	if len(s.Tenants) != 1 || s.Tenants[0] != (settings.Tenant{Name: "acme", Quota: settings.NumberOf(1000)}) {
		t.Errorf("tenants: got %+v", s.Tenants)
	}
}

// The lists of the domain section apply to the classes, whether they come before or after them.
func TestOrderOfKeysDoesNotMatter(t *testing.T) {
	const domain, classes = `"domain":{"calls_by_class":[false,true],"degraded_worth":[null,0.5]}`, `"classes":[{"name":"a"},{"name":"b"}]`
	for _, text := range []string{"{" + domain + "," + classes + "}", "{" + classes + "," + domain + "}"} {
		s, invalid, err := Parse(text)
		if invalid != nil || err != nil || s.Classes[0] != (settings.Class{Name: "a", MakesCalls: settings.False}) ||
			s.Classes[1] != (settings.Class{Name: "b", MakesCalls: settings.True, DegradedWeight: settings.NumberOf(0.5)}) {
			t.Errorf("%s: got %+v, invalid value %v, error %v", text, s, invalid, err)
		}
	}
}

func TestErrorsNameTheirKey(t *testing.T) {
	for key, input := range map[string]map[string]any{
		"":                        settingsWithClasses("trace", "repeatable"),
		"worth_by":                {"worth_by": "weight", "repeat": "unheard", "own": map[string]any{"aim_s": "unheard"}},
		"tenants.0.quota_per_s":   {"tenants": []any{map[string]any{"quota_per_s": "many"}}},
		"tenants.1.quota_per_s":   {"tenants": []any{nil, map[string]any{"quota_per_s": -1}}},
		"tenants.1.name":          {"tenants": []any{map[string]any{"name": "a"}, map[string]any{"name": 1, "quota_per_s": 5}}},
		"tenants.2.name":          {"tenants": []any{map[string]any{"name": "a"}, map[string]any{}, map[string]any{"name": "a"}}},
		"tenants.0":               {"tenants": []any{"acme"}},
		"domain.calls_by_class.1": {"domain": map[string]any{"calls_by_class": []any{true, 1.0}}},
		"domain.degraded_worth":   {"domain": map[string]any{"degraded_worth": 1}},
		"domain.cores":            {"domain": map[string]any{"cores": 2e12, "unheard": true}},
		"domain":                  {"domain": 5},
		"classes.0.repeat":        settingsWithClasses("trace", "sometimes"),
		"classes.2.name":          settingsWithClasses("trace", "once", "seal", "once", "trace", "once"),
		"classes.0.name":          settingsWithClasses(strings.Repeat("x", settings.MaxNameBytes+1), "once"),
		"classes.1.aim_s":         {"classes": []any{map[string]any{"name": "a"}, map[string]any{"aim_s": 3.0, "deadline_s": 2.0}}},
		"rules.warm_after_s":      {"rules": map[string]any{"warm_after_s": true}},
	} {
		_, invalid, err := parse(t, input)
		if err != nil || (invalid == nil) != (key == "") || invalid != nil && (invalid.Key != "settings."+key || invalid.Found == "" || invalid.Expected == "") {
			t.Errorf("%s: got invalid value %+v, error %v", key, invalid, err)
		}
	}
}

// The other values are decoded in spite of an invalid one: the simulator's settings are used without it.
func TestInvalidValuesCountAsMissing(t *testing.T) {
	s, invalid, err := Parse(`{"domain":{"cores":"many","ram_kb":5},"tenants":[{"quota_per_s":-1},{"name":7,"quota_per_s":2}]}`)
	if err != nil || invalid == nil || s.Server != (settings.Server{MemoryKB: settings.NumberOf(5)}) || len(s.Tenants) != 2 ||
		s.Tenants[0] != (settings.Tenant{}) || s.Tenants[1] != (settings.Tenant{Quota: settings.NumberOf(2)}) {
		t.Errorf("got %+v, invalid value %v, error %v", s, invalid, err)
	}
}

func TestListsAreBounded(t *testing.T) {
	for key, input := range map[string]map[string]any{
		"settings.classes": {"classes": make([]any, settings.MaxClasses+1)},
		"settings.tenants": {"tenants": tenants(settings.MaxTenants + 1)},
	} {
		s, _, err := parse(t, input)
		var invalid *ValueError
		if !errors.As(err, &invalid) || invalid.Key != key || len(s.Classes)+len(s.Tenants) > 0 {
			t.Errorf("%s: got error %v", key, err)
		}
	}
	s, invalid, err := parse(t, map[string]any{"tenants": tenants(settings.MaxTenants)})
	if err != nil || invalid != nil || s.Tenants[settings.MaxTenants-1].Quota != settings.NumberOf(settings.MaxTenants-1) {
		t.Errorf("got %d tenants, invalid value %v, error %v", len(s.Tenants), invalid, err)
	}
}

func TestParseRejectsAllButOneObject(t *testing.T) {
	for _, text := range []string{"", "null", "5", `"x"`, "[]", "{", `{"classes":[{]}`, `{"classes":[`, `{"tenants":{}}`, "{} {}"} {
		if s, _, err := Parse(text); err == nil || len(s.Classes) > 0 {
			t.Errorf("%q was decoded: %+v", text, s)
		}
	}
}

// BenchmarkParse decodes settings with 1,000 and with 60,000 tenants.
func BenchmarkParse(b *testing.B) {
	for _, count := range []int{1000, 60_000} {
		text, err := json.Marshal(map[string]any{"tenants": tenants(count)})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, invalid, err := Parse(string(text)); invalid != nil || err != nil {
					b.Fatal(invalid, err)
				}
			}
		})
	}
}
