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
		t.Errorf("%d may start under full read congestion, want half of two", got)
	}
}

// updateHealthWith lets a period pass for health alone.
func updateHealthWith(inst *Instance, readDelay, retryShare float64) {
	inst.readDelay, inst.retryShare = readDelay, retryShare
	inst.updateHealth()
}

func TestCongestedServerLeavesTheEndpointListThatFollowsHealth(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.EndpointsFollowHealth = settings.True })
	for _, readDelay := range []float64{1, 0, 1, 0} { // no flapping
		updateHealthWith(inst, readDelay, 0)
	}
	host.expectCalls(t, 0, "health false")
	updateHealthWith(inst, 0.3, 0.5) // light congestion where many are retries: others are no better off
	updateHealthWith(inst, 0.3, 0.5)
	host.expectCalls(t, 0, "health false")
	updateHealthWith(inst, 1, 0.5) // all that is read is late: no server is of less use
	updateHealthWith(inst, 1, 0.5)
	host.expectCalls(t, 1, "health false")
	updateHealthWith(inst, 0, 0)
	updateHealthWith(inst, 0, 0)
	host.expectCalls(t, 2, "health true")
	inst.Drain(0, time.Second) // from now on nothing makes it healthy
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

func TestReadCongestionFadesWhenACoreIsFreeToRead(t *testing.T) {
	inst, _ := newTestInstance(nil)
	inst.readDelay = 1
	inst.Tick(tickInterval, Gauges{Busy: -1, Runnable: 2})
	if inst.readDelay != 1 {
		t.Error("congestion fades though both cores read")
	}
	inst.Tick(2*tickInterval, Gauges{Busy: -1, Runnable: 1})
	if inst.readDelay >= 1 {
		t.Error("congestion stays though a core is free to read")
	}
}

func TestReadCongestionRejectsThoughNothingWaits(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.readDelay = 10
	inst.Admit(0, 0, requestOf(0))
	host.expectCalls(t, 1, "reject 0")
}
