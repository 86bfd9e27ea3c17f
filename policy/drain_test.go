package policy

import (
	"testing"
	"time"
)

func TestNothingStartsAfterTheDrainGrace(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.Drain(0, 5*time.Second)
	inst.Admit(900*ms, 0, requestOf(0))
	inst.Admit(1100*ms, 1, requestOf(0))
	inst.Dispatch(1100 * ms)
	host.expectCalls(t, 1, "start 0")
	host.expectCalls(t, 1, "reject 1")
	host.expectCalls(t, 0, "start 1")
}

func TestAllRequestsAreAnsweredBeforeTheStop(t *testing.T) {
	inst, host := newTestInstance(nil)
	fillCores(inst, 0, 1)
	inst.Drain(0, 500*ms)
	inst.Tick(420*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "fail 0")
	host.expectCalls(t, 1, "fail 1")
	host.expectCalls(t, 1, "reject 2")
}

func TestDrainingServerServesUntilItsGraceEnds(t *testing.T) {
	inst, host := newTestInstance(advertiseThreshold)
	inst.Drain(0, 5*time.Second)
	inst.Tick(100*ms, Gauges{Busy: -1})
	host.expectCalls(t, 0, "advertise")
	inst.Tick(600*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "advertise 1.000")
}
