package policy

import (
	"testing"
	"time"

	"thymechute/policy/settings"
)

func TestSlowStartLowersTheConcurrencyCeiling(t *testing.T) {
	cold, _ := newTestInstance(func(s *settings.Settings) {
		s.Server.SlowStart = settings.True
		s.Server.SlowStartFraction = settings.NumberOf(0.2)
		s.Server.WarmUpTime = settings.NumberOf(10)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(8)
	})
	warm, _ := newTestInstance(func(s *settings.Settings) {
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(8)
	})
	if c, w := cold.maxConcurrency(0), warm.maxConcurrency(0); c != 3 || w != 12 {
		t.Errorf("ceilings %d and %d, want 3 and 12", c, w)
	}
}

func TestConcurrencyLimitRisesOnlyWhereRunsLeaveCoresIdle(t *testing.T) {
	for _, c := range []struct {
		runnable float64 // of two cores
		queued   int
		limit    float64 // after a period that began with a limit of 3 and ran 3
	}{{1, 1, 4}, {2, 1, 2}, {1.9, 1, 3}, {0, 0, 3}} {
		inst, _ := newTestInstance(nil)
		inst.concurrency.limit = 3
		fillCores(inst, 0, 1+c.queued)
		inst.period.completed = 1
		for n := range 5 {
			gauges := Gauges{Busy: 0.5, Runnable: c.runnable} // half idle, as bursts are
			inst.Tick(time.Duration(n+1)*tickInterval, gauges)
		}
		if inst.endPeriod(period); inst.concurrency.limit != c.limit {
			t.Errorf("%v want a core, %d queued: limit %v, want %v",
				c.runnable, c.queued, inst.concurrency.limit, c.limit)
		}
	}
}
