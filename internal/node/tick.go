package node

import (
	"time"

	"thymechute/internal/loop"
)

// enqueue keeps an event for the next tick of the loop.
func (n *Instance) enqueue(event func()) { n.events = append(n.events, event) }

// Tick hands all events to the controller and lets it act. It returns when the next tick of the loop is due and the phase that the
// event loop shall be in.
func (n *Instance) Tick() (time.Time, loop.Phase) {
	clock := time.Now()
	n.now = clock.Sub(n.start)
	nextTimeout := n.dependency.Sweep(clock)
	n.handleEvents()
	if n.controller == nil {
		n.healthReporter.Sweep(clock, Unhealthy)
		n.sweepFronts(clock)
		return clock.Add(defaultControllerTickInterval), n.phase()
	}
	nextTick := n.tickControllerIfDue()
	n.controller.Dispatch(n.now)
	n.handleCompletions()
	if n.now >= n.nextSweep {
		n.sweep()
	}
	n.healthReporter.Sweep(clock, HealthOf(n.health.isHealthy && !n.drain.started))
	n.sweepFronts(clock)
	return earliest(nextTimeout, n.start.Add(nextTick)), n.phase()
}

// handleEvents runs the queued events. A panic of one does not keep the next from being handled.
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

// handleCompletions ends coalesced requests; what the controller then does may complete more of them.
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

// earliest returns the earlier of an optional time (zero: none) and another.
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

// tickControllerIfDue ticks if it is time to, and returns when the next tick is due.
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

// controllerTickDue returns when the pending tick is due. It is deferred while the machine is stalled, which shows in gauges that
// are outstanding and no other events: timers of the whole machine stand still then, and that is no load. The deferral is
// shorter than the margin of every deadline, and a tick that late tells the controller of the stall.
func (n *Instance) controllerTickDue() time.Duration {
	outstanding := n.runtime.Up() && n.gauges.requestedAt > n.gauges.readAt
	if outstanding && n.now-max(n.gauges.requestedAt, n.lastEventAt) > stallThreshold {
		return n.nextControllerTick + maxControllerTickDelay
	}
	return n.nextControllerTick
}

// sweep drops expired keys and fails health checks past their timeout.
func (n *Instance) sweep() {
	n.nextSweep = n.now + sweepInterval
	n.sweepKeys()
	n.failHealthChecks(func(check healthCheck) bool { return n.now > check.expiresAt })
}
