package policy

import (
	"math"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

func TestInvalidSettingsFallBackToDefaults(t *testing.T) {
	host := &hostRecorder{}
	inst := New(host, 0, settings.Settings{Server: settings.Server{
		Cores:     settings.NumberOf(-1),
		MemoryKB:  settings.NumberOf(math.NaN()),
		FleetSize: settings.NumberOf(0),
	}})
	inst.Admit(0, 0, requestOf(0))
	inst.Admit(0, 1, requestOf(5000))
	inst.Dispatch(0)
	host.expectCalls(t, 1, "start 0")
	host.expectCalls(t, 1, "reject 1")
}

func TestChangedSettingsRetainRequestsInFlight(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.EndpointsFollowHealth = settings.True })
	original := inst.server
	inst.Admit(0, 0, requestOf(1))
	inst.Dispatch(0)
	inst.Admit(0, 1, requestOf(0))
	inst.Tick(20*ms, Gauges{Busy: -1})
	updateHealthWith(inst, 1, 0)
	updateHealthWith(inst, 1, 0)
	previousClass := inst.classes[1]
	changed := testutil.TypedSettings(func(s *settings.Settings) {
		s.Server.RunMemoryFactor = settings.NumberOf(8)
		s.Server.KeyEntryKB = settings.NumberOf(30)
		s.Server.AdvertiseMode = settings.AdvertiseShare
		s.Server.CallQuota = settings.NumberOf(0.5)
		s.Classes[1].Weight = settings.NumberOf(7)
		s.Classes = append(s.Classes, settings.Class{Idempotency: settings.Idempotent})
	})
	inst.SetServer(changed.Server)
	for n, class := range changed.Classes {
		inst.SetClass(n, class)
	}
	if inst.memory.usedKB != 8*10+10+30 || inst.calls.quota != 0.5 ||
		len(inst.classes) != 4 || !inst.classes[3].isIdempotent {
		t.Errorf("%v kB in use, call quota %v, %d classes", inst.memory.usedKB, inst.calls.quota, len(inst.classes))
	}
	if class := inst.classes[1]; class.weight != 7 || class.baseLatency != previousClass.baseLatency ||
		!class.isIdempotent {
		t.Errorf("changed class %+v, was %+v", class, previousClass)
	}
	updateHealthWith(inst, 1, 0) // EndpointsFollowHealth is off now, so the server becomes healthy
	updateHealthWith(inst, 1, 0)
	host.expectCalls(t, 2, "health true")
	inst.Tick(40*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "advertise") // advertised again, in the new form
	inst.RunEnded(50*ms, 0, OK, 50*ms)
	inst.Dispatch(50 * ms)
	inst.RunEnded(90*ms, 1, OK, 40*ms)
	inst.Tick(11*time.Second, Gauges{Busy: -1})
	inst.SetServer(original)
	if inst.memory.usedKB != 0 || len(inst.keyExpiries) != 0 {
		t.Errorf("%v kB and %d key entries left", inst.memory.usedKB, len(inst.keyExpiries))
	}
}

func TestSettingsWithoutClasses(t *testing.T) {
	host := &hostRecorder{}
	inst := New(host, 0, settings.Settings{})
	inst.Tick(tickInterval, Gauges{Busy: -1})
	inst.Admit(tickInterval, 0, requestOf(0))
	host.expectCalls(t, 0, "reject 0")
}

func TestExtremeSettingsAnswerEveryRequest(t *testing.T) {
	for name, change := range map[string]func(*settings.Settings){
		"no fleet": func(s *settings.Settings) {
			s.Server.FleetSize = settings.NumberOf(0)
			s.Tenants = []settings.Tenant{{Quota: settings.NumberOf(5)}}
		},
		"no calls":       func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(0) },
		"negative calls": func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(-3) },
		"calls missing":  func(s *settings.Settings) { s.Server.CallQuota = settings.Number{} },
		"no window":      func(s *settings.Settings) { s.Server.CallQuotaWindow = settings.NumberOf(0) },
		"no memory":      func(s *settings.Settings) { s.Server.MemoryKB = settings.NumberOf(5) },
		"no classes":     func(s *settings.Settings) { s.Classes = nil },
		"no cores": func(s *settings.Settings) {
			s.Server.Cores = settings.NumberOf(0)
			s.Server.MaxConcurrencyPerCore = settings.NumberOf(0)
		},
		"huge fleet": func(s *settings.Settings) {
			s.Server.FleetSize = settings.NumberOf(1e300)
			s.Server.CallerCount = settings.NumberOf(1e300)
			s.Server.AdvertiseMode = settings.AdvertiseWindow
		},
		"huge idle time": func(s *settings.Settings) { s.Server.CallerIdleTimeout = settings.NumberOf(1e300) },
		"many tenants":   func(s *settings.Settings) { s.Tenants = make([]settings.Tenant, settings.MaxTenants) },
	} {
		inst, host := newTestInstance(change)
		inst.Admit(0, 0, requestOf(0))
		inst.Dispatch(0)
		inst.CallRequested(0, 0)
		for now := tickInterval; now < 3*time.Second; now += tickInterval {
			inst.Tick(now, Gauges{Busy: 0.5, Runnable: 1})
			inst.Dispatch(now)
		}
		if !(inst.lag.current >= 0) || !(inst.advertised.shedThreshold >= 0) || !(inst.calls.overuse > -1e9) {
			t.Errorf("%s: lag %v, shed threshold %v, call overuse %v",
				name, inst.lag.current, inst.advertised.shedThreshold, inst.calls.overuse)
		}
		answers := 0
		for _, call := range host.calls {
			if strings.HasPrefix(call, "reject 0 ") || call == "fail 0" {
				answers++
			}
		}
		if answers != 1 {
			t.Errorf("%s: %d answers, want 1, in %q", name, answers, host.calls)
		}
	}
}

// The quota is enforced for every tenant, including the last one of settings.MaxTenants.
func TestLastOfManyTenantsHasItsQuota(t *testing.T) {
	for _, last := range []int{0, 10_000, 60_000, settings.MaxTenants - 1} { // indices
		inst, host := newTestInstance(func(s *settings.Settings) {
			s.Tenants = make([]settings.Tenant, last+1)
			s.Tenants[last].Quota = settings.NumberOf(0.001)
			s.Server.OverQuotaWeight = settings.NumberOf(0.05)
		})
		overQuota := 0
		for id := range RequestID(10) { // the bucket holds eight tokens
			req := requestOf(0)
			req.Tenant = last
			inst.Admit(0, id, req)
			if inst.requests[id].isOverQuota {
				overQuota++
			}
		}
		if overQuota != 2 {
			t.Errorf("tenant %d: %d of 10 requests over its quota, want 2: %q", last, overQuota, host.calls)
		}
	}
}

func TestFreedTenantIndexIsReset(t *testing.T) {
	inst, _ := newTestInstance(func(s *settings.Settings) {
		s.Tenants = []settings.Tenant{{Quota: settings.NumberOf(0.001)}}
	})
	for inst.tenants[0].Allow(0, 1) {
	}
	inst.SetTenant(0, settings.Tenant{Quota: settings.NumberOf(0.002)})
	if inst.tenants[0].Allow(0, 1) {
		t.Error("a change of the quota refilled the bucket")
	}
	inst.FreeTenant(0)
	inst.SetTenant(0, settings.Tenant{Quota: settings.NumberOf(0.001)})
	if !inst.tenants[0].Allow(0, 1) {
		t.Error("the bucket of the next tenant is not full")
	}
}

func TestFreedClassIndexIsReset(t *testing.T) {
	inst, _ := newTestInstance(nil)
	class := settings.Class{
		Idempotency:      settings.Safe,
		LatencyObjective: settings.NumberOf(1),
		Weight:           settings.NumberOf(3),
	}
	first := &inst.classes[0]
	initial := first.runEstimates
	updated := runEstimates{runTime: 7, baseLatency: 6, responseTime: 5, runTimePerHint: 4, completedRuns: 3}
	first.runEstimates = updated
	inst.SetClass(0, settings.Class{Idempotency: settings.Safe, LatencyObjective: settings.NumberOf(2)})
	if first.runEstimates != updated {
		t.Errorf("a change of the settings changed the estimates of the class: %+v", first)
	}
	inst.FreeClass(0)
	inst.SetClass(0, class)
	if first.runEstimates != initial || first.runTimePerHint != 0 ||
		first.completedRuns != 0 || first.weight != 3 {
		t.Errorf("class at a freed index %+v, want the initial estimates", first)
	}
}

// A freed class is not included in the lag threshold and is not the reference class.
func TestFreedClassIsIgnored(t *testing.T) {
	inst, _ := newTestInstance(func(s *settings.Settings) {
		for n, objective := range []float64{1, 2, 8} {
			s.Classes[n].LatencyObjective = settings.NumberOf(objective)
		}
	})
	withObjective := func(seconds float64) settings.Class {
		return settings.Class{LatencyObjective: settings.NumberOf(seconds)}
	}
	lagThreshold := func() float64 {
		for n := range inst.classes {
			inst.classes[n].baseLatency = 0.1
		}
		inst.endPeriod(periodLength)
		return inst.lag.threshold
	}
	for _, step := range []struct {
		change       func()
		reference    float64 // latency objective of the reference class, in seconds
		lagThreshold float64 // 0.4 of the mean latency objective in base latencies, minus 1
	}{
		{func() {}, 1, 0.4*(10+20+80)/3 - 1},
		{func() { inst.FreeClass(0) }, 2, 0.4*(20+80)/2 - 1},
		{func() { inst.FreeClass(1) }, 8, 0.4*80 - 1},
		{func() { inst.SetClass(0, withObjective(4)) }, 4, 0.4*(40+80)/2 - 1},
		// Without any class in use, the last one freed remains the reference.
		{func() { inst.FreeClass(0); inst.FreeClass(2) }, 8, minLagThreshold},
		{func() { inst.SetClass(1, withObjective(3)) }, 3, 0.4*30 - 1},
	} {
		step.change()
		got := lagThreshold()
		reference := inst.referenceClass().latencyObjective
		isClose := got >= step.lagThreshold-1e-6 && got <= step.lagThreshold+1e-6
		if !isClose || reference != time.Duration(step.reference*1e9) {
			t.Errorf("lag threshold %v, want %v; latency objective of the reference class %v, want %v s",
				got, step.lagThreshold, reference, step.reference)
		}
	}
}
