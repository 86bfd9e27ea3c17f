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

func TestTenantBeyondItsQuotaComesLast(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Tenants = []settings.Tenant{{Quota: settings.NumberOf(1)}, {Quota: settings.NumberOf(9)}}
		s.Server.OverQuotaWeight = settings.NumberOf(0.05)
	})
	for range 8 { // what may come at once
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

func TestRunTimeLearnsFromRunsCutOff(t *testing.T) {
	inst, _ := newTestInstance(nil)
	fillCores(inst, 0, 0)
	before := inst.classes[0].runTime
	inst.failRun(900*ms, 0)
	if inst.classes[0].runTime <= before {
		t.Errorf("expected run still %v s", before)
	}
}

func TestIdleServerTriesALongCostHint(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.classes[0].workPerHint = 1
	long := requestOf(0)
	long.CostHint = 20 * time.Second
	inst.Admit(0, 0, long)
	inst.Dispatch(0)
	host.expectCalls(t, 1, "start 0")
	inst.Admit(0, 1, long)
	inst.Dispatch(0)
	host.expectCalls(t, 1, "start 1") // on two cores half of them free would mean that nothing runs
	inst.Admit(0, 2, long)
	inst.Tick(20*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "reject 2")
}

func TestIdleCoreTriesALongCostHintButNoLongRun(t *testing.T) {
	for hint, words := range map[time.Duration]string{20 * time.Second: "start 1", 0: "reject 1"} {
		inst, host := newTestInstance(nil)
		inst.classes[0].workPerHint = 1
		// By its recent runs and calls the class can't end in time.
		inst.classes[1].responseTime, inst.classes[1].runTime = 5, 5
		fillCores(inst, 0, -1)
		req := requestOf(0)
		if req.CostHint = hint; hint == 0 {
			req.Class = 1
		}
		inst.Admit(0, 1, req)
		inst.Dispatch(0)
		host.expectCalls(t, 1, words)
	}
}

func TestCostHintCountsHalfWay(t *testing.T) {
	inst, _ := newTestInstance(func(s *settings.Settings) { s.Server.WeightPerWork = settings.False })
	inst.classes[0].workPerHint, inst.classes[0].runTime, inst.classes[0].responseTime = 1, 0.1, 0.1
	long := requestOf(0)
	long.CostHint = 1600 * ms // 16 times the mean run: taken for four times
	inst.Admit(0, 0, long)
	// 1 over 0.4 s, to a power of two; by the hint itself it could not end.
	if d := inst.valueDensity(0, 0); d != 2 {
		t.Errorf("density %v", d)
	}
}

func TestNearlyEqualClassesHaveEqualValueDensity(t *testing.T) {
	inst, _ := newTestInstance(nil)
	inst.classes[0].runTime, inst.classes[1].runTime = 0.25, 0.26
	inst.classes[1].weight = 1
	inst.Admit(0, 0, requestOf(0))
	inst.Admit(0, 1, requestOf(1))
	if a, b := inst.valueDensity(0, 0), inst.valueDensity(0, 1); a != b {
		t.Errorf("densities %v and %v", a, b)
	}
}
