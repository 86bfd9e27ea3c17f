package policy

import (
	"testing"
	"time"

	"thymechute/policy/settings"
)

func TestSlowStartLowersMaxConcurrency(t *testing.T) {
	warmingUp, _ := newTestInstance(func(s *settings.Settings) {
		s.Server.SlowStart = settings.True
		s.Server.SlowStartFraction = settings.NumberOf(0.2)
		s.Server.WarmUpTime = settings.NumberOf(10)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(8)
	})
	warmedUp, _ := newTestInstance(func(s *settings.Settings) {
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(8)
	})
	ceilingAtStart := warmingUp.maxConcurrency(0)
	ceiling := warmedUp.maxConcurrency(0)
	if ceilingAtStart != 3 || ceiling != 12 {
		t.Errorf("maximum concurrency %d at the start, %d after warming up, want 3 and 12", ceilingAtStart, ceiling)
	}
}

func TestConcurrencyLimitRisesOnlyWhereRunsLeaveCoresIdle(t *testing.T) {
	for _, c := range []struct {
		runnable float64 // threads, on two cores
		queued   int
		limit    float64 // after a period that began with a limit of 3 and 3 running requests
	}{{1, 1, 4}, {2, 1, 2}, {1.9, 1, 3}, {0, 0, 3}} {
		inst, _ := newTestInstance(nil)
		inst.concurrency.limit = 3
		fillCores(inst, 0, 1+c.queued)
		inst.period.completed = 1
		for n := range 5 {
			// Bursts leave the cores half idle on average, which must not raise the limit.
			gauges := Gauges{Busy: 0.5, Runnable: c.runnable}
			inst.Tick(time.Duration(n+1)*tickInterval, gauges)
		}
		inst.endPeriod(periodLength)
		if inst.concurrency.limit != c.limit {
			t.Errorf("%v runnable, %d queued: limit %v, want %v",
				c.runnable, c.queued, inst.concurrency.limit, c.limit)
		}
	}
}
