// This file owns rounds and sweeps. It must never keep the loop longer than one round.

package node

import (
	"time"

	"thymechute/internal/loop"
)

func (n *Instance) put(f func()) { n.inbox = append(n.inbox, f) }

// Tick hands all that came to the module, then lets it act. It tells when to come again, and its phase.
func (n *Instance) Tick() (time.Time, loop.Phase) {
	clock := time.Now()
	n.now = clock.Sub(n.start)
	next := n.below.Sweep(clock)
	inbox := n.inbox
	if n.inbox = nil; len(inbox) > 0 {
		n.heard = n.now
	}
	for _, f := range inbox {
		loop.WithRecover(n.log, "event", f) // its panic must not take along those behind it
	}
	if n.mod == nil {
		n.reports.Sweep(clock, false)
		n.sweepFronts(clock)
		return clock.Add(wakeGap), n.phase()
	}
	at := n.wake
	if n.now >= at {
		if at = n.standstill(); n.now >= at {
			n.tick()
			at = n.wake
		}
	}
	n.mod.Dispatch(n.now)
	for len(n.later) > 0 {
		later := n.later
		n.later = nil
		for _, f := range later {
			loop.WithRecover(n.log, "join", f)
		}
		n.mod.Dispatch(n.now)
	}
	if n.now >= n.swept {
		n.sweep()
	}
	n.reports.Sweep(clock, n.good && !n.draining)
	n.sweepFronts(clock)
	if at := n.start.Add(at); next.IsZero() || at.Before(next) {
		next = at
	}
	return next, n.phase()
}

func (n *Instance) sweepFronts(now time.Time) {
	for _, f := range n.fronts {
		f.Sweep(now)
	}
}

func (n *Instance) tick() {
	g := n.gauges
	if n.now-n.gaugesAt > oldGauges {
		g = noReadings
	}
	n.wake = n.now + wakeGap
	n.mod.Tick(n.now, g)
	if n.runtime.Up() {
		if n.asked <= n.gaugesAt {
			n.asked = n.now
		}
		n.runtime.RequestGauges() // for the next one: nothing waits for readings
	}
}

// standstill tells when the Tick that is due may come. While the machine stands still the runtime owes its
// readings and nobody is heard; timers stand still with it. A Tick that late tells the module so, and it is still
// soon enough for every due time, whose margin and the rules' own slack are longer together.
func (n *Instance) standstill() time.Duration {
	if n.runtime.Up() && n.asked > n.gaugesAt && n.now-max(n.asked, n.heard) > silence {
		return n.wake + mostSilence
	}
	return n.wake
}

func (n *Instance) sweep() {
	n.swept = n.now + sweepEvery
	for key, r := range n.keys {
		if n.now > r.end+afterEnd && r.w < 0 && len(r.coalesced) == 0 {
			n.discard(key)
		}
	}
	n.endChecks(func(c check) bool { return n.now > c.until })
}

// endChecks answers the deep checks that are over as bad.
func (n *Instance) endChecks(over func(check) bool) {
	for tag, c := range n.checks {
		if over(c) {
			delete(n.checks, tag)
			c.asker.HealthChecked(c.tag, false, n.free)
		}
	}
}
