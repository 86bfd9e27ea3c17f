package node

import (
	"time"

	"thymechute/policy"
)

// gaugeState holds the runtime's latest gauges.
type gaugeState struct {
	latest      policy.Gauges
	readAt      time.Duration // when latest was received
	requestedAt time.Duration // of the earliest unanswered request, if later than readAt
}

// noGauges are gauges of which none is available.
var noGauges = policy.Gauges{Busy: -1, Runnable: -1}

// requestGauges requests the gauges for the next tick, as no tick waits for an answer.
func (n *Instance) requestGauges() {
	if n.gauges.requestedAt <= n.gauges.readAt {
		n.gauges.requestedAt = n.now
	}
	n.runtime.RequestGauges()
}

// GaugesRead is called with the runtime's gauges, in the order that the settings give (settings.Server.BusyGauge).
func (n *Instance) GaugesRead(values []float64) {
	n.gauges.latest = n.parseGauges(values)
	n.gauges.readAt = time.Since(n.start)
}

// parseGauges picks the controller's gauges out of the runtime's.
func (n *Instance) parseGauges(values []float64) policy.Gauges {
	busy, runnable := n.serverSettings.Gauges(values)
	return policy.Gauges{Busy: busy, Runnable: runnable}
}
