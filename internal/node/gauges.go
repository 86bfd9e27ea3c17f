package node

import (
	"time"

	"thymechute/policy"
)

// gaugeState is the runtime's latest gauges.
type gaugeState struct {
	latest      policy.Gauges
	readAt      time.Duration
	requestedAt time.Duration // of the earliest request without an answer
}

// noGauges are gauges without a reading.
var noGauges = policy.Gauges{Busy: -1, Runnable: -1}

// requestGauges asks for the gauges of the next tick: no tick waits for them.
func (n *Instance) requestGauges() {
	if n.gauges.requestedAt <= n.gauges.readAt {
		n.gauges.requestedAt = n.now
	}
	n.runtime.RequestGauges()
}

// GaugesRead is called with the runtime's gauges, in the order of the settings.
func (n *Instance) GaugesRead(values []float64) {
	n.gauges.latest = n.parseGauges(values)
	n.gauges.readAt = time.Since(n.start)
}

// parseGauges picks the controller's gauges out of the runtime's.
func (n *Instance) parseGauges(values []float64) policy.Gauges {
	busy, runnable := n.server.Gauges(values)
	return policy.Gauges{Busy: busy, Runnable: runnable}
}
