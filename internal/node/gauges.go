package node

import (
	"time"

	"thymechute/policy"
)

// gaugeState holds the runtime's latest gauges.
type gaugeState struct {
	latest      policy.Gauges
	readAt      time.Duration // when latest was received
	requestedAt time.Duration // when the earliest outstanding reading was requested; none is outstanding if not after readAt
}

// noGauges marks all gauges as unavailable.
var noGauges = policy.Gauges{Busy: -1, Runnable: -1}

// requestGauges requests a reading of the gauges, to be used by a later tick: no tick waits for it.
func (n *Instance) requestGauges() {
	if n.gauges.requestedAt <= n.gauges.readAt {
		n.gauges.requestedAt = n.now
	}
	n.runtime.RequestGauges()
}

// GaugesRead is called with the values of the runtime's gauges, in the runtime's order (see settings.Server.BusyGauge).
func (n *Instance) GaugesRead(values []float64) {
	n.gauges.latest = n.parseGauges(values)
	n.gauges.readAt = time.Since(n.start)
	n.runtimeProcess.respondedAt = n.gauges.readAt
}

// parseGauges selects the gauges that the controller uses from those of the runtime.
func (n *Instance) parseGauges(values []float64) policy.Gauges {
	busy, runnable := n.serverSettings.Gauges(values)
	return policy.Gauges{Busy: busy, Runnable: runnable}
}
