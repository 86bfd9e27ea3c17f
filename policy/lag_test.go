package policy

import (
	"testing"
	"time"
)

func TestLoadSheddingNeedsConsecutiveSamplesOverThreshold(t *testing.T) {
	inst, _ := newTestInstance(nil)
	for n := range dampeningPeriods {
		if inst.isShedding {
			t.Fatalf("load shedding is on after %d samples over the threshold", n)
		}
		inst.lag.ratioSums[0] = 140
		inst.lag.ratioCounts[0] = 10
		inst.endPeriod(time.Duration(n+1) * periodLength)
		inst.lag.ratioSums = [2]float64{}
		inst.lag.ratioCounts = [2]float64{}
	}
	if !inst.isShedding {
		t.Error("load shedding is still off")
	}
}

func TestLagCountsUnfinishedRuns(t *testing.T) {
	inst, _ := newTestInstance(nil)
	fillCores(inst, 0, 0)
	inst.classes[0].baseLatency = 0.1
	inst.endPeriod(400 * ms)
	if inst.lag.current < 2.9 || inst.lag.current > 3.1 {
		t.Errorf("lag %v, want 3: two runs of 400 ms so far over a base latency of 100 ms", inst.lag.current)
	}
}

func TestStallDiscardsLagSamples(t *testing.T) {
	inst, _ := newTestInstance(nil)
	inst.lag.ratioSums[0] = 100
	inst.lag.ratioCounts[0] = 2
	inst.Tick(700*ms, Gauges{Busy: -1})
	if inst.lag.ratioCounts[0] != 0 || inst.lag.current != 0 {
		t.Error("the lag samples lengthened by the stall were not discarded")
	}
}

func TestStarvedQueueCountsInLag(t *testing.T) {
	inst, _ := newTestInstance(nil)
	fillCores(inst, 0, 3)
	inst.classes[0].baseLatency = 0.1
	inst.requests[0].startedAt = -time.Hour
	inst.requests[1].startedAt = -time.Hour
	inst.endPeriod(600 * ms)
	if inst.lag.current < 5.9 || inst.lag.current > 6.1 {
		t.Errorf("lag %v, want 6: three requests queued for 600 ms over a base latency of 100 ms", inst.lag.current)
	}
}
