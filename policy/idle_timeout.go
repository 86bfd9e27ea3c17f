package policy

import "time"

const (
	// minIdleTimeoutFraction is the least part of the callers' own idle timeout, and the part at the start.
	minIdleTimeoutFraction = 0.1
	// connectionLoadPerCore is the aim for what wants a core besides the runs.
	connectionLoadPerCore = 0.5
	// idleTimeoutGain is the largest change of the part in a period.
	idleTimeoutGain = 0.1
	// idleTimeoutStep is what the timeout is rounded to.
	idleTimeoutStep = 100 * ms
	// readsSamples is the weight of the past in the average of requests read in a period.
	readsSamples = 15
)

// idleTimeoutControl sets after which time idle connections are closed.
type idleTimeoutControl struct {
	fraction       float64       // of the callers' own idle timeout
	current        time.Duration // set last; 0: none
	connectionLoad float64       // a period's sum of what wants a core besides the runs
	samples        float64       // Ticks with that gauge in this period
	readsPerPeriod float64       // moving average
}

// updateIdleTimeout moves the idle timeout. A full table of connections locks callers out whatever they
// send, and new connections take the cores from the runs: what wants a core besides the runs shows whether
// more may be opened. The change is slow: a connection keeps the timeout under which it fell idle, and a
// table emptied at once fills at once.
func (inst *Instance) updateIdleTimeout() {
	control := &inst.idleTimeout
	callerTimeout := inst.server.CallerIdleTimeout.Seconds(0)
	if control.samples == 0 || callerTimeout <= 0 {
		return
	}
	load := control.connectionLoad / control.samples
	spare := min(max(1-load/(connectionLoadPerCore*float64(inst.cores)), -1), 1)
	control.fraction = min(max(control.fraction*(1-idleTimeoutGain*spare), minIdleTimeoutFraction), 1)
	control.connectionLoad = 0
	control.samples = 0
	updateAverage(&control.readsPerPeriod, float64(inst.period.read), readsSamples)
	fraction := control.fraction
	if inst.callersReturnWithin(callerTimeout) {
		fraction = 1
	}
	timeout := time.Duration(fraction * float64(callerTimeout)).Round(idleTimeoutStep)
	if timeout != control.current {
		control.current = timeout
		inst.host.SetIdleTimeout(timeout)
	}
}

// callersReturnWithin reports whether a caller mostly sends again before its connection would be closed
// after the timeout, so that closing it earlier gains nothing.
func (inst *Instance) callersReturnWithin(timeout time.Duration) bool {
	return inst.idleTimeout.readsPerPeriod*timeout.Seconds() > inst.server.CallerCount.Or(0)*period.Seconds()
}
