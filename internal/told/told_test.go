package told

import (
	"strings"
	"testing"
)

// site has classes by name and kind in turn, each with its place as its worth.
func site(classes ...string) map[string]any {
	var list []any
	for n := 0; n < len(classes); n += 2 {
		list = append(list, map[string]any{"name": classes[n], "repeat": classes[n+1], "worth": float64(n)})
	}
	return map[string]any{"classes": list, "worth_by": "work", "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 5.0}}}
}

func TestLaterSettingsKeepIndicesAndTheWayBackIsTheSame(t *testing.T) {
	here := Read(site("trace", "repeatable", "excursion", "by_key"))
	there, err := here.Over(Read(site("issue", "by_key", "excursion", "by_key", "lookup", "repeatable")))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(there.Bands, " "); got != "trace excursion issue lookup" || there.Told["band.count"] != 4.0 {
		t.Errorf("%s, %v", got, there.Told)
	}
	if there.Open("trace") || !there.Open("issue") || there.Kind("trace") != "pure" || there.Kind("issue") != "receipted" ||
		there.Told["band.1.payoff"] != 2.0 || there.Told["band.0.payoff"] != 0.0 || there.Told["band.3.payoff"] != 4.0 {
		t.Errorf("%+v", there)
	}
	back, err := there.Over(here)
	if err != nil || !back.Open("trace") || back.Open("issue") || back.Told["band.1.payoff"] != 2.0 || len(back.Bands) != 4 {
		t.Errorf("%v: %+v", err, back)
	}
	if _, err := back.Over(Read(site("excursion", "repeatable"))); err == nil || !strings.Contains(err.Error(), "settings.classes: found excursion") {
		t.Errorf("a band changed its kind: %v", err)
	}
}

func TestNamesAreBounded(t *testing.T) {
	var classes []string
	for n := range mostNames {
		classes = append(classes, strings.Repeat("x", n+1), "once")
	}
	s := Read(site(classes...))
	_, err := s.Over(Read(site("trace", "repeatable")))
	if again, same := s.Over(s); same != nil || len(again.Bands) != mostNames {
		t.Errorf("%d bands, %v", len(again.Bands), same)
	}
	if err == nil || len(s.Bands) != mostNames {
		t.Errorf("%d bands, %v", len(s.Bands), err)
	}
}

func TestFaultsAreNamed(t *testing.T) {
	for key, settings := range map[string]map[string]any{
		"":                        site("trace", "repeatable"),
		"worth_by":                {"worth_by": "weight", "repeat": "unheard", "own": map[string]any{"aim_s": "unheard"}},
		"tenants.0.quota_per_s":   {"tenants": []any{map[string]any{"quota_per_s": "many"}}},
		"domain.calls_by_class.1": {"domain": map[string]any{"calls_by_class": []any{true, 1.0}}},
		"classes.0.repeat":        site("trace", "sometimes"),
		"classes.1.aim_s":         {"classes": []any{map[string]any{"name": "a"}, map[string]any{"aim_s": 3.0, "deadline_s": 2.0}}},
		"rules.warm_after_s":      {"rules": map[string]any{"warm_after_s": true}},
	} {
		if got, found, want := Fault(settings); got != key || key != "" && (want == "" || found == nil) {
			t.Errorf("%s: %s found %v, expected %s", key, got, found, want)
		}
	}
}
