package policy

import (
	"testing"
	"time"

	"thymechute/policy/settings"
)

// Every tenant has its limit, also the last of as many as there may be.
func TestTheLastOfManyTenantsHasItsLimit(t *testing.T) {
	for _, last := range []int{0, 10_000, 60_000, settings.MaxTenants - 1} { // by place: the first is 0
		i, b := fresh(func(s *settings.Settings) {
			s.Tenants = make([]settings.Tenant, last+1)
			s.Tenants[last].Quota = settings.NumberOf(0.001)
			s.Server.OverQuotaWeight = settings.NumberOf(0.05)
		})
		beyond := 0
		for w := range RequestID(10) { // eight may come at once
			work := of(0)
			work.Tenant = last
			i.Admit(0, w, work)
			if i.items[w].beyond {
				beyond++
			}
		}
		if beyond != 2 {
			t.Errorf("tenant %d: %d of 10 beyond its limit, want 2: %q", last, beyond, b.calls)
		}
	}
}

func TestAFreedIndexKeepsNothingOfItsTenant(t *testing.T) {
	i, _ := fresh(func(s *settings.Settings) { s.Tenants = []settings.Tenant{{Quota: settings.NumberOf(0.001)}} })
	for i.tenants[0].Beyond(0, 1) == false {
	}
	i.SetTenant(0, settings.Tenant{Quota: settings.NumberOf(0.002)})
	if !i.tenants[0].Beyond(0, 1) {
		t.Error("a changed quota filled the bucket")
	}
	i.FreeTenant(0)
	i.SetTenant(0, settings.Tenant{Quota: settings.NumberOf(0.001)})
	if i.tenants[0].Beyond(0, 1) {
		t.Error("the next tenant found the bucket empty")
	}
}

func TestAFreedIndexKeepsNothingOfItsClass(t *testing.T) {
	i, _ := fresh(nil)
	class := settings.Class{Idempotency: settings.Safe, LatencyObjective: settings.NumberOf(1), Weight: settings.NumberOf(3)}
	untouched := i.classes[0]
	b := &i.classes[0]
	b.latency, b.base, b.span, b.perHint, b.ended = 7, 6, 5, 4, 3
	i.SetClass(0, settings.Class{Idempotency: settings.Safe, LatencyObjective: settings.NumberOf(2)})
	if b.latency != 7 || b.base != 6 || b.span != 5 || b.perHint != 4 || b.ended != 3 {
		t.Errorf("a changed class lost what was learned: %+v", b)
	}
	i.FreeClass(0)
	i.SetClass(0, class)
	if b.latency != untouched.latency || b.base != untouched.base || b.span != untouched.span || b.perHint != 0 || b.ended != 0 || b.value != 3 {
		t.Errorf("%+v, want as new", b)
	}
}

// A class that is no more has no part in what is measured of the server.
func TestAFreedClassCountsInNothing(t *testing.T) {
	i, _ := fresh(func(s *settings.Settings) {
		for n, deadline := range []float64{1, 2, 8} {
			s.Classes[n].LatencyObjective = settings.NumberOf(deadline)
		}
	})
	limit := func() float64 {
		for n := range i.classes {
			i.classes[n].base = 0.1
		}
		i.judge(period, Gauges{Busy: -1})
		return i.limit
	}
	for _, step := range []struct {
		what         func()
		first, limit float64 // deadline of the measure; 0.4 of the mean of the deadlines in base latencies, less 1
	}{
		{func() {}, 1, 0.4*(10+20+80)/3 - 1},
		{func() { i.FreeClass(0) }, 2, 0.4*(20+80)/2 - 1},
		{func() { i.FreeClass(1) }, 8, 0.4*80 - 1},
		{func() { i.SetClass(0, settings.Class{LatencyObjective: settings.NumberOf(4)}) }, 4, 0.4*(40+80)/2 - 1},
		{func() { i.FreeClass(0); i.FreeClass(2) }, 8, leastLimit}, // of none in force the last is the measure
		{func() { i.SetClass(1, settings.Class{LatencyObjective: settings.NumberOf(3)}) }, 3, 0.4*30 - 1},
	} {
		step.what()
		if got := limit(); got < step.limit-1e-6 || got > step.limit+1e-6 || i.firstClass().due != time.Duration(step.first*1e9) {
			t.Errorf("limit %v, want %v; measure %v, want %v s", got, step.limit, i.firstClass().due, step.first)
		}
	}
}
