package policy

import (
	"testing"
	"time"

	"thymechute/policy/settings"
)

func TestQueueStartsByValueDensity(t *testing.T) {
	inst, host := newTestInstance(nil)
	fillCores(inst, 0, 0)
	inst.Admit(0, 5, requestOf(0))
	inst.Admit(0, 6, requestOf(2))
	inst.RunEnded(10*ms, 0, Failed, 10*ms)
	inst.Dispatch(10 * ms)
	host.expectCalls(t, 1, "start 6")
	host.expectCalls(t, 0, "start 5")
}

func TestRequestOverTenantQuotaStartsLast(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Tenants = []settings.Tenant{{Quota: settings.NumberOf(1)}, {Quota: settings.NumberOf(9)}}
		s.Server.OverQuotaWeight = settings.NumberOf(0.05)
	})
	for range 8 { // the capacity of the bucket
		inst.tenants[0].Allow(0, 1)
	}
	fillCores(inst, 0, 0)
	inst.Admit(0, 5, requestOf(0))
	other := requestOf(0)
	other.Tenant = 1
	inst.Admit(0, 6, other)
	inst.RunEnded(10*ms, 0, Failed, 10*ms)
	inst.Dispatch(10 * ms)
	host.expectCalls(t, 1, "start 6")
}

func TestTimedOutRunRaisesRunTimeEstimate(t *testing.T) {
	inst, _ := newTestInstance(nil)
	fillCores(inst, 0, 0)
	previousRunTime := inst.classes[0].runTime
	inst.failRun(900*ms, 0)
	if inst.classes[0].runTime <= previousRunTime {
		t.Errorf("run time estimate is still %v s after a longer run", previousRunTime)
	}
}

func TestHalfIdleServerStartsRequestWithLongCostHint(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.classes[0].runTimePerHint = 1
	long := requestOf(0)
	long.CostHint = 20 * time.Second
	inst.Admit(0, 0, long)
	inst.Dispatch(0)
	host.expectCalls(t, 1, "start 0")
	inst.Admit(0, 1, long)
	inst.Dispatch(0)
	host.expectCalls(t, 1, "start 1") // one idle core suffices for a request with a cost hint
	inst.Admit(0, 2, long)
	inst.Tick(20*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "reject 2")
}

func TestIdleCoreStartsLongCostHintButNotLongRunTime(t *testing.T) {
	for hint, wantCall := range map[time.Duration]string{20 * time.Second: "start 1", 0: "reject 1"} {
		inst, host := newTestInstance(nil)
		inst.classes[0].runTimePerHint = 1
		// By its estimates, a run of this class can't end in time.
		inst.classes[1].responseTime = 5
		inst.classes[1].runTime = 5
		fillCores(inst, 0, -1)
		req := requestOf(0)
		req.CostHint = hint
		if hint == 0 {
			req.Class = 1
		}
		inst.Admit(0, 1, req)
		inst.Dispatch(0)
		host.expectCalls(t, 1, wantCall)
	}
}

func TestCostHintIsAveragedWithRunTime(t *testing.T) {
	inst, _ := newTestInstance(func(s *settings.Settings) { s.Server.WeightPerWork = settings.False })
	inst.classes[0].runTimePerHint = 1
	inst.classes[0].runTime = 0.1
	inst.classes[0].responseTime = 0.1
	long := requestOf(0)
	long.CostHint = 1600 * ms // 16 times the average run time, so 4 times the average is expected
	inst.Admit(0, 0, long)
	// Weight 1 over 0.4 s, rounded to a power of two. By the hint alone, the run could not end in time.
	if d := inst.valueDensity(0, 0); d != 2 {
		t.Errorf("value density %v, want 2", d)
	}
}

func TestNearlyEqualClassesHaveEqualValueDensity(t *testing.T) {
	inst, _ := newTestInstance(nil)
	inst.classes[0].runTime = 0.25
	inst.classes[1].runTime = 0.26
	inst.classes[1].weight = 1
	inst.Admit(0, 0, requestOf(0))
	inst.Admit(0, 1, requestOf(1))
	if a, b := inst.valueDensity(0, 0), inst.valueDensity(0, 1); a != b {
		t.Errorf("value densities %v and %v, want equal ones", a, b)
	}
}
