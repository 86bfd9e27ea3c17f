package node

import (
	"time"

	"thymechute/internal/loop"
)

// enqueue queues an event for the next tick of the loop.
func (n *Instance) enqueue(event func()) { n.events = append(n.events, event) }

// Tick implements loop.Host: it passes all queued events to the controller and carries out its decisions. It returns when the
// next tick of the loop is due, and the phase of the graceful shutdown.
func (n *Instance) Tick() (time.Time, loop.Phase) {
	clock := time.Now()
	n.now = clock.Sub(n.start)
	nextTimeout := n.dependency.Sweep(clock)
	n.handleEvents()
	if n.controller == nil {
		n.healthReporter.ReportIfDue(clock, Unhealthy)
		n.sweepFronts(clock)
		return clock.Add(defaultControllerTickInterval), n.advancePhase()
	}
	nextTick := n.tickControllerIfDue()
	n.controller.Dispatch(n.now)
	n.handleCompletions()
	if n.now >= n.nextSweep {
		n.sweep()
	}
	n.healthReporter.ReportIfDue(clock, HealthOf(n.healthStatus() == Healthy && !n.drain.started))
	n.sweepFronts(clock)
	return earliest(nextTimeout, n.start.Add(nextTick)), n.advancePhase()
}

// handleEvents runs the queued events. A panic in one is logged, and the next ones still run.
func (n *Instance) handleEvents() {
	events := n.events
	n.events = nil
	if len(events) > 0 {
		n.lastEventAt = n.now
	}
	for _, event := range events {
		loop.WithRecover(n.log, "event", event)
	}
}

// handleCompletions ends coalesced requests until none is left, as the controller may complete more of them in Dispatch.
func (n *Instance) handleCompletions() {
	for len(n.completions) > 0 {
		completions := n.completions
		n.completions = nil
		for _, complete := range completions {
			loop.WithRecover(n.log, "completion", complete)
		}
		n.controller.Dispatch(n.now)
	}
}

// earliest returns the earlier of the two times. A zero optional time is ignored.
func earliest(optional, other time.Time) time.Time {
	if optional.IsZero() || other.Before(optional) {
		return other
	}
	return optional
}

func (n *Instance) sweepFronts(now time.Time) {
	for _, front := range n.fronts {
		front.Sweep(now)
	}
}

// tickControllerIfDue ticks the controller if that is due, and returns when its next tick is due.
func (n *Instance) tickControllerIfDue() time.Duration {
	if n.now < n.nextControllerTick {
		return n.nextControllerTick
	}
	if due := n.controllerTickDue(); n.now < due {
		return due
	}
	n.tickController()
	return n.nextControllerTick
}

func (n *Instance) tickController() {
	gauges := n.gauges.latest
	if n.now-n.gauges.readAt > maxGaugeAge {
		gauges = noGauges
	}
	n.nextControllerTick = n.now + defaultControllerTickInterval
	n.controller.Tick(n.now, gauges)
	if n.runtime.Up() {
		n.requestGauges()
	}
}

// controllerTickDue returns when the controller's pending tick is due. The tick is deferred while the machine is stalled, so
// that the controller does not mistake the stall for load. A stall shows in a reading of the gauges that is outstanding while
// no other event arrives. The deferral is shorter than the margin before each deadline, and long enough for the controller to
// detect the stall.
func (n *Instance) controllerTickDue() time.Duration {
	areGaugesOutstanding := n.runtime.Up() && n.gauges.requestedAt > n.gauges.readAt
	silence := n.now - max(n.gauges.requestedAt, n.lastEventAt)
	if areGaugesOutstanding && silence > stallThreshold {
		return n.nextControllerTick + maxControllerTickDelay
	}
	return n.nextControllerTick
}

// sweep drops expired keys, checks whether the runtime responds, and fails health checks past their timeout.
func (n *Instance) sweep() {
	if late := n.now - n.nextSweep; late > sweepInterval {
		n.runtimeProcess.respondedAt += late // this process or the machine has stalled, which is no silence of the runtime
	}
	n.nextSweep = n.now + sweepInterval
	n.sweepKeys()
	n.updateSilence()
	n.failHealthChecks(func(check healthCheck) bool { return n.now > check.expiresAt })
}
