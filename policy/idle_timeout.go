package policy

import "time"

const (
	// minIdleTimeoutFraction is the minimum and initial idle timeout, as a fraction of the callers' own idle
	// timeout.
	minIdleTimeoutFraction = 0.1
	// targetConnectionLoadPerCore is the target number of runnable threads per core in excess of the running
	// requests.
	targetConnectionLoadPerCore = 0.5
	// idleTimeoutGain is the maximum relative change of the fraction per period.
	idleTimeoutGain = 0.1
	// idleTimeoutStep is the granularity to which the timeout is rounded.
	idleTimeoutStep = 100 * time.Millisecond
	// pastSamplesOfRequestsRead gives each new period a weight of 1/16 in the average number of requests read
	// per period.
	pastSamplesOfRequestsRead = 15
)

// idleTimeoutControl adapts the time after which idle connections are closed.
type idleTimeoutControl struct {
	fraction          float64       // of the callers' own idle timeout, 0 to 1
	current           time.Duration // most recently set; 0: none
	connectionLoadSum float64       // runnable threads in excess of the runs, summed over gaugeSamples
	gaugeSamples      float64       // ticks of this period at which the gauge was available
	requestsPerPeriod float64       // moving average of the requests read per period
}

// updateIdleTimeout adapts the idle timeout. A long timeout fills the connection table, which locks out new
// callers; a short one makes callers reconnect, which takes cores from the runs. The runnable threads in
// excess of the runs show how much reconnecting the server can afford. The timeout changes slowly, because a
// connection keeps the timeout under which it became idle, and because closing many connections at the same
// time makes as many callers reconnect at the same time.
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
	updateAverage(&control.requestsPerPeriod, float64(inst.period.read), pastSamplesOfRequestsRead)
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
// its connection earlier would only make it reconnect.
func (inst *Instance) callersReturnWithin(timeout time.Duration) bool {
	return inst.idleTimeout.requestsPerPeriod*timeout.Seconds() >
		inst.server.CallerCount.Or(0)*periodLength.Seconds()
}
