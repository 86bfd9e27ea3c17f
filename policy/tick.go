package policy

import "time"

const (
	// tickInterval is the time between two ticks.
	tickInterval = 20 * time.Millisecond
	// minStall is the delay of a tick above which the whole process is assumed to have stalled.
	minStall = 100 * time.Millisecond
)

// Tick is called every tickInterval, at the time requested through Host.Wake. It answers expired requests,
// updates the controls with the gauges, and ends the period when it is over.
func (inst *Instance) Tick(now time.Duration, gauges Gauges) {
	inst.discardLagAfterStall(now)
	inst.nextTickAt = now + tickInterval
	inst.host.Wake(inst.nextTickAt)
	inst.meterCalls(now)
	inst.expireKeys(now)
	inst.calls.abandoned = removeExpired(inst.calls.abandoned, now)
	inst.answerExpiredRequests(now)
	inst.observeRunnableThreads(gauges.Runnable)
	inst.logReadCongestion()
	inst.advertise(now)
	if inst.backlog() > 0 {
		inst.period.backlogTicks++
	}
	if now >= inst.lag.nextSampleAt {
		inst.endPeriod(now)
		inst.lag.nextSampleAt = now + periodLength
	}
}

// discardLagAfterStall discards the lag samples if the process has stalled since the last tick. The stall
// lengthened all latencies, but was not caused by load.
func (inst *Instance) discardLagAfterStall(now time.Duration) {
	if now-inst.nextTickAt > minStall {
		inst.lag.discard()
		inst.lag.nextSampleAt = now + periodLength
	}
}
