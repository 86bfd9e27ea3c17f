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
	// requestsReadPastSamples is the number of past samples that the average of requests read per period stands for.
	requestsReadPastSamples = 15
)

// idleTimeoutControl adapts the time after which idle connections are closed.
type idleTimeoutControl struct {
	fraction          float64       // of the callers' own idle timeout, 0 to 1
	current           time.Duration // set last; 0: none
	connectionLoadSum float64       // sum of the runnable threads besides the runs, over this period's samples
	gaugeSamples      float64       // ticks of this period at which the gauge was available
	requestsPerPeriod float64       // moving average
}

// updateIdleTimeout adapts the idle timeout. A long one fills the connection table, which locks out new
// callers; a short one makes callers reconnect, which takes cores from the runs. The runnable threads besides
// the runs show how much reconnecting the server can afford. The change is slow, since a connection keeps the
// timeout under which it became idle, and since closing many connections at once makes as many callers
// reconnect at once.
func (inst *Instance) updateIdleTimeout() {
	control := &inst.idleTimeout
	callerTimeout := inst.server.CallerIdleTimeout.Seconds(0)
	if control.gaugeSamples == 0 || callerTimeout <= 0 {
		return
	}
	connectionLoad := control.connectionLoadSum / control.gaugeSamples
	spareCapacity := min(max(1-connectionLoad/(targetConnectionLoadPerCore*float64(inst.cores)), -1), 1)
	control.fraction = min(max(control.fraction*(1-idleTimeoutGain*spareCapacity), minIdleTimeoutFraction), 1)
	control.connectionLoadSum = 0
	control.gaugeSamples = 0
	updateAverage(&control.requestsPerPeriod, float64(inst.period.read), requestsReadPastSamples)
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
	return inst.idleTimeout.requestsPerPeriod*timeout.Seconds() >
		inst.server.CallerCount.Or(0)*periodLength.Seconds()
}
