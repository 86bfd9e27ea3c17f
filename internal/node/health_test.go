package node

import (
	"testing"
	"time"
)

// tickFor ticks as if the time had passed, in steps of sweepInterval.
func (n *Instance) tickFor(passed time.Duration) {
	for ; passed > 0; passed -= sweepInterval {
		n.start = n.start.Add(-sweepInterval)
		n.Tick()
	}
}

// Guards against health checks that say "serving" while no request can be served: the link to the runtime is down, or up and silent.
func TestSilentRuntimeFailsHealthChecks(t *testing.T) {
	for _, isDown := range []bool{true, false} {
		n, rec := newReadyInstance(nil)
		n.CheckHealth(rec, "before", ShallowCheck)
		rec.expect(t, 1, "health before true")
		rec.down = isDown
		n.tickFor(runtimeSilenceTimeout - time.Second)
		n.CheckHealth(rec, "short", ShallowCheck)
		rec.expect(t, 1, "health short true")
		n.tickFor(2 * time.Second)
		n.CheckHealth(rec, "silent", ShallowCheck)
		rec.expect(t, 1, "health silent false")
		rec.down = false
		n.GaugesRead(nil)
		n.tickFor(sweepInterval)
		n.CheckHealth(rec, "again", ShallowCheck)
		rec.expect(t, 1, "health again true")
	}
}

// A pause of the whole machine is no silence of the runtime.
func TestStallIsNoSilenceOfTheRuntime(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.start = n.start.Add(-2 * runtimeSilenceTimeout)
	n.Tick()
	n.CheckHealth(rec, "stalled", ShallowCheck)
	rec.expect(t, 1, "health stalled true")
	n.tickFor(runtimeSilenceTimeout + time.Second)
	n.CheckHealth(rec, "silent", ShallowCheck)
	rec.expect(t, 1, "health silent false")
}
