package policy

import "time"

const (
	ms = time.Millisecond

	// tickInterval is the time between two Ticks.
	tickInterval = 20 * ms
	// minStall is the delay of a Tick from which on the whole process is taken to have been stalled.
	minStall = 100 * ms
)

// Tick comes every tickInterval, at the time asked for by Host.Wake: it answers what is due, reads the
// gauges, and ends a period when its time is over.
func (inst *Instance) Tick(now time.Duration, gauges Gauges) {
	inst.detectStall(now)
	inst.nextTickAt = now + tickInterval
	inst.host.Wake(inst.nextTickAt)
	inst.meterCalls(now)
	inst.expireKeys(now)
	inst.calls.abandoned = withoutExpired(inst.calls.abandoned, now)
	inst.answerExpired(now)
	inst.observeCores(gauges.Runnable)
	inst.logReadCongestion()
	inst.advertise(now)
	if inst.backlog() > 0 {
		inst.period.backlogTicks++
	}
	if now >= inst.lag.nextSampleAt {
		inst.endPeriod(now)
		inst.lag.nextSampleAt = now + period
	}
}

// detectStall discards the sample of lag that a stall has stretched, so that it does not count
// against the healthy time after it.
func (inst *Instance) detectStall(now time.Duration) {
	if now-inst.nextTickAt > minStall {
		inst.lag.discard()
		inst.lag.nextSampleAt = now + period
	}
}
