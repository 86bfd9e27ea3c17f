package policy

import (
	"testing"
	"time"

	"thymechute/policy/settings"
)

func TestReadCongestionIsAdvertisedAtOnce(t *testing.T) {
	inst, host := newTestInstance(advertiseThreshold)
	inst.readDelay = 0.5
	inst.Tick(tickInterval, Gauges{Busy: -1, Runnable: -1})
	host.expectCalls(t, 1, "advertise 1.000")
	if got := inst.startCapacity(0); got != 1 {
		t.Errorf("%d requests may start under full read congestion, want 1, half of the limit", got)
	}
}

// updateHealthWith updates the health as at the end of a period with these averages.
func updateHealthWith(inst *Instance, readDelay, retryShare float64) {
	inst.readDelay = readDelay
	inst.retryShare = retryShare
	inst.updateHealth()
}

func TestCongestedServerIsReportedUnhealthy(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.EndpointsFollowHealth = settings.True })
	for _, readDelay := range []float64{1, 0, 1, 0} { // single periods do not change the health
		updateHealthWith(inst, readDelay, 0)
	}
	host.expectCalls(t, 0, "health false")
	updateHealthWith(inst, 0.3, 0.5) // partial congestion and many retries: the other servers are loaded too
	updateHealthWith(inst, 0.3, 0.5)
	host.expectCalls(t, 0, "health false")
	updateHealthWith(inst, 1, 0.5) // full congestion: all answers are late
	updateHealthWith(inst, 1, 0.5)
	host.expectCalls(t, 1, "health false")
	updateHealthWith(inst, 0, 0)
	updateHealthWith(inst, 0, 0)
	host.expectCalls(t, 2, "health true")
	inst.Drain(0, time.Second) // a draining server stays unhealthy
	updateHealthWith(inst, 1, 0)
	updateHealthWith(inst, 1, 0)
	updateHealthWith(inst, 0, 0)
	updateHealthWith(inst, 0, 0)
	host.expectCalls(t, 2, "health true")
	inst, host = newTestInstance(nil)
	updateHealthWith(inst, 1, 0)
	updateHealthWith(inst, 1, 0)
	host.expectCalls(t, 0, "health false")
}

func TestReadDelayDecaysWhileACoreIsIdle(t *testing.T) {
	inst, _ := newTestInstance(nil)
	inst.readDelay = 1
	inst.Tick(tickInterval, Gauges{Busy: -1, Runnable: 2})
	if inst.readDelay != 1 {
		t.Error("the read delay decays though both cores are busy reading")
	}
	inst.Tick(2*tickInterval, Gauges{Busy: -1, Runnable: 1})
	if inst.readDelay >= 1 {
		t.Error("the read delay does not decay though a core is free to read")
	}
}

func TestReadCongestionRejectsWithoutBacklog(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.readDelay = 10
	inst.Admit(0, 0, requestOf(0))
	host.expectCalls(t, 1, "reject 0")
}
