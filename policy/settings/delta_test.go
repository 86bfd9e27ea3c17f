package settings

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func tenantsOf(t *rapid.T, label string) []Tenant {
	names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-f]{0,2}"), 0, 12, rapid.ID[string]).Draw(t, label)
	list := make([]Tenant, len(names))
	for n, name := range names {
		list[n] = Tenant{name, NumberOf(float64(rapid.IntRange(0, 2).Draw(t, "quota")))}
	}
	return list
}

// Applying the delta of any two lists to the first gives the second, and the delta contains no unchanged
// resource.
func TestDeltaLeadsFromOneVersionToTheNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		previous := tenantsOf(t, "previous")
		next := tenantsOf(t, "next")
		d, err := Compare(7, Settings{Tenants: previous}, Settings{Tenants: next}, func() {})
		if err != nil || d.From != 7 || d.To != 8 {
			t.Fatal(d, err)
		}
		byName := func(list []Tenant) map[string]Number {
			m := map[string]Number{}
			for _, tenant := range list {
				if tenant.Name != "" { // no request can refer to a tenant without a name
					m[tenant.Name] = tenant.Quota
				}
			}
			return m
		}
		got := byName(previous)
		want := byName(next)
		for _, name := range d.Tenants.Removed {
			if _, ok := got[name]; !ok {
				t.Fatalf("removed tenant %q is not in the previous settings", name)
			}
			delete(got, name)
		}
		for _, tenant := range d.Tenants.Set {
			if old, ok := got[tenant.Name]; ok && old == tenant.Quota {
				t.Fatalf("tenant %q is in the delta, but unchanged", tenant.Name)
			}
			got[tenant.Name] = tenant.Quota
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("previous settings with the delta applied: %v, want %v", got, want)
		}
		if d.IsEmpty() != (fmt.Sprint(byName(previous)) == fmt.Sprint(want)) {
			t.Fatalf("IsEmpty returns %v", d.IsEmpty())
		}
	})
}

func TestDeltaIncludesServerOnlyIfChanged(t *testing.T) {
	a := Settings{Server: Server{Cores: NumberOf(1)}}
	b := Settings{Server: Server{Cores: NumberOf(2)}}
	if d, err := Compare(1, a, a, func() {}); err != nil || !d.IsEmpty() {
		t.Errorf("equal settings: delta %+v, error %v, want an empty delta", d, err)
	}
	if d, err := Compare(1, a, b, func() {}); err != nil || d.Server == nil || *d.Server != b.Server {
		t.Errorf("changed server: delta %+v, error %v, want the new server", d, err)
	}
}

func TestIdempotencyOfClassCannotChange(t *testing.T) {
	of := func(kind Idempotency) Settings {
		return Settings{Classes: []Class{{Name: "a"}, {Name: "seal", Idempotency: kind}}}
	}
	_, err := Compare(1, of(NonIdempotent), of(Safe), func() {})
	var changed *IdempotencyChangedError
	if !errors.As(err, &changed) || *changed != (IdempotencyChangedError{"seal", NonIdempotent, Safe}) {
		t.Errorf("changed idempotency: error %v, want an IdempotencyChangedError", err)
	}
	if _, err := Compare(1, of(""), of(Safe), func() {}); err != nil {
		t.Error(err)
	}
}

// Comparing long lists yields the processor regularly, and allocates nothing for equal entries.
func TestComparePausesRegularly(t *testing.T) {
	previous := make([]Tenant, 60_000)
	for n := range previous {
		previous[n] = Tenant{Name: fmt.Sprint("t", n)}
	}
	next := slices.Clone(previous)
	next[30_000].Quota = NumberOf(1)
	pauses := 0
	d, err := Compare(1, Settings{Tenants: previous}, Settings{Tenants: next}, func() { pauses++ })
	if err != nil || len(d.Tenants.Set) != 1 || pauses < len(previous)/entriesPerPause {
		t.Errorf("%d changes, %d pauses, %v", len(d.Tenants.Set), pauses, err)
	}
	allocations := testing.AllocsPerRun(5, func() {
		_, _ = Compare(1, Settings{Tenants: previous}, Settings{Tenants: next}, func() {})
	})
	if allocations > 20 {
		t.Errorf("%v allocations, want at most 20", allocations)
	}
}
