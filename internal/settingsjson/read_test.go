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

// parse reads a value by way of its JSON.
func parse(t *testing.T, value any) (settings.Settings, *Fault, error) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(string(text))
}

// site has classes by name and kind in turn, each with its place as its worth.
func site(classes ...string) map[string]any {
	var list []any
	for n := 0; n < len(classes); n += 2 {
		list = append(list, map[string]any{"name": classes[n], "repeat": classes[n+1], "worth": float64(n)})
	}
	return map[string]any{"classes": list, "worth_by": "work", "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 5.0}}}
}

// tenants are so many with names of their own.
func tenants(n int) []any {
	list := make([]any, n)
	for at := range list {
		list[at] = map[string]any{"name": fmt.Sprint("t", at), "quota_per_s": at}
	}
	return list
}

func TestAllIsRead(t *testing.T) {
	s, fault, err := parse(t, testutil.Settings())
	if fault != nil || err != nil {
		t.Fatal(fault, err)
	}
	want := settings.Server{Cores: settings.NumberOf(4), MemoryKB: settings.NumberOf(100000), RunMemoryFactor: settings.NumberOf(2), KeyEntryKB: settings.NumberOf(1),
		StopMode: settings.StopAbort, Dependency: settings.DependencyShared, CallQuota: settings.NumberOf(50), CallLinger: settings.NumberOf(0.2),
		CallQuotaWindow: settings.NumberOf(5), AdvertiseMode: settings.AdvertiseThreshold, CallerCount: settings.NumberOf(3), CallerIdleTimeout: settings.NumberOf(30),
		FleetSize: settings.NumberOf(1), RetryAfter: settings.True, MaxRetryAfter: settings.NumberOf(1), DrainGrace: settings.NumberOf(0.3),
		MaxConcurrencyPerCore: settings.NumberOf(8), BusyGauge: 1, RunnableGauge: 2}
	if s.Server != want {
		t.Errorf("%+v, want %+v", s.Server, want)
	}
	seal := settings.Class{Name: "seal", Idempotency: settings.NonIdempotent, Weight: settings.NumberOf(3), DegradedWeight: settings.NumberOf(0), MakesCalls: settings.True,
		LatencyObjective: settings.NumberOf(20), CallerTimeout: settings.NumberOf(30), KeyWindow: settings.NumberOf(60)}
	if len(s.Classes) != 3 || s.Classes[2] != seal {
		t.Errorf("%+v", s.Classes)
	}
	if len(s.Tenants) != 1 || s.Tenants[0] != (settings.Tenant{Name: "acme", Quota: settings.NumberOf(1000)}) {
		t.Errorf("%+v", s.Tenants)
	}
}

// What the list of the domain says belongs to the classes, whichever stands first.
func TestOrderOfTheKeysDoesNotMatter(t *testing.T) {
	const domain, classes = `"domain":{"calls_by_class":[false,true],"degraded_worth":[null,0.5]}`, `"classes":[{"name":"a"},{"name":"b"}]`
	for _, text := range []string{"{" + domain + "," + classes + "}", "{" + classes + "," + domain + "}"} {
		s, fault, err := Parse(text)
		if fault != nil || err != nil || s.Classes[0] != (settings.Class{Name: "a", MakesCalls: settings.False}) ||
			s.Classes[1] != (settings.Class{Name: "b", MakesCalls: settings.True, DegradedWeight: settings.NumberOf(0.5)}) {
			t.Errorf("%s: %+v, %v, %v", text, s, fault, err)
		}
	}
}

func TestFaultsAreNamed(t *testing.T) {
	for key, given := range map[string]map[string]any{
		"":                        site("trace", "repeatable"),
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
		"classes.0.repeat":        site("trace", "sometimes"),
		"classes.2.name":          site("trace", "once", "seal", "once", "trace", "once"),
		"classes.0.name":          site(strings.Repeat("x", settings.MaxNameBytes+1), "once"),
		"classes.1.aim_s":         {"classes": []any{map[string]any{"name": "a"}, map[string]any{"aim_s": 3.0, "deadline_s": 2.0}}},
		"rules.warm_after_s":      {"rules": map[string]any{"warm_after_s": true}},
	} {
		_, fault, err := parse(t, given)
		if err != nil || (fault == nil) != (key == "") || fault != nil && (fault.Key != "settings."+key || fault.Found == "" || fault.Want == "") {
			t.Errorf("%s: %+v, %v", key, fault, err)
		}
	}
}

// A fault leaves the rest as it stands: the simulator's settings are taken without it.
func TestWhatCannotBeMeantIsMissing(t *testing.T) {
	s, fault, err := Parse(`{"domain":{"cores":"many","ram_kb":5},"tenants":[{"quota_per_s":-1},{"name":7,"quota_per_s":2}]}`)
	if err != nil || fault == nil || s.Server != (settings.Server{MemoryKB: settings.NumberOf(5)}) || len(s.Tenants) != 2 ||
		s.Tenants[0] != (settings.Tenant{}) || s.Tenants[1] != (settings.Tenant{Quota: settings.NumberOf(2)}) {
		t.Errorf("%+v, %v, %v", s, fault, err)
	}
}

func TestListsAreBounded(t *testing.T) {
	for key, given := range map[string]map[string]any{
		"settings.classes": {"classes": make([]any, settings.MaxClasses+1)},
		"settings.tenants": {"tenants": tenants(settings.MaxTenants + 1)},
	} {
		s, _, err := parse(t, given)
		var fault *Fault
		if !errors.As(err, &fault) || fault.Key != key || len(s.Classes)+len(s.Tenants) > 0 {
			t.Errorf("%s: %v", key, err)
		}
	}
	s, fault, err := parse(t, map[string]any{"tenants": tenants(settings.MaxTenants)})
	if err != nil || fault != nil || s.Tenants[settings.MaxTenants-1].Quota != settings.NumberOf(settings.MaxTenants-1) {
		t.Errorf("%d tenants, %v, %v", len(s.Tenants), fault, err)
	}
}

func TestWhatIsNoObjectIsAnError(t *testing.T) {
	for _, text := range []string{"", "null", "5", `"x"`, "[]", "{", `{"classes":[{]}`, `{"classes":[`, `{"tenants":{}}`, "{} {}"} {
		if s, _, err := Parse(text); err == nil || len(s.Classes) > 0 {
			t.Errorf("%q was read: %+v", text, s)
		}
	}
}

// BenchmarkParse is a file of so many tenants.
func BenchmarkParse(b *testing.B) {
	for _, many := range []int{1000, 60_000} {
		text, err := json.Marshal(map[string]any{"tenants": tenants(many)})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(many), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, fault, err := Parse(string(text)); fault != nil || err != nil {
					b.Fatal(fault, err)
				}
			}
		})
	}
}
