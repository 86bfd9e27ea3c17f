package policy

import "time"

const (
	// minIdleTimeoutFraction is the least fraction of the callers' own idle timeout, and the first one.
	minIdleTimeoutFraction = 0.1
	// targetConnectionLoadPerCore is the target of the runnable threads per core besides the runs.
	targetConnectionLoadPerCore = 0.5
	// idleTimeoutGain is the largest relative change of the fraction in a period.
	idleTimeoutGain = 0.1
	// idleTimeoutStep is the unit to which the timeout is rounded.
	idleTimeoutStep = 100 * time.Millisecond
	// readsSamples is the number of past samples that the average of requests read per period stands for.
	readsSamples = 15
)

// idleTimeoutControl adapts the time after which idle connections are closed.
type idleTimeoutControl struct {
	fraction       float64       // of the callers' own idle timeout, 0 to 1
	current        time.Duration // set last; 0: none
	connectionLoad float64       // sum of the runnable threads besides the runs, over this period's samples
	samples        float64       // ticks of this period at which the gauge was available
	readsPerPeriod float64       // moving average
}

// updateIdleTimeout adapts the idle timeout. A long one fills the connection table, which locks out new
// callers; a short one makes callers reconnect, which takes cores from the runs. The runnable threads besides
// the runs show how much reconnecting the server can afford. The change is slow, since a connection keeps the
// timeout under which it became idle, and since closing many connections at once makes as many callers
// reconnect at once.
func (inst *Instance) updateIdleTimeout() {
	control := &inst.idleTimeout
	callerTimeout := inst.server.CallerIdleTimeout.Seconds(0)
	if control.samples == 0 || callerTimeout <= 0 {
		return
	}
	load := control.connectionLoad / control.samples
	spare := min(max(1-load/(targetConnectionLoadPerCore*float64(inst.cores)), -1), 1)
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

// callersReturnWithin reports whether the average caller sends its next request within the timeout. Closing
// its connection earlier only makes it reconnect.
func (inst *Instance) callersReturnWithin(timeout time.Duration) bool {
	return inst.idleTimeout.readsPerPeriod*timeout.Seconds() > inst.server.CallerCount.Or(0)*period.Seconds()
}
