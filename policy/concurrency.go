package policy

import "time"

const (
	// maxConcurrencyFraction is the maximum fraction of a server's sustainable concurrency that is used.
	maxConcurrencyFraction = 0.75
	// defaultConcurrencyPerCore is the sustainable concurrency per core if the settings give none.
	defaultConcurrencyPerCore = 2
	// defaultSlowStartFraction is the fraction of the concurrency above one per core that is allowed at the
	// start if the settings give none.
	defaultSlowStartFraction = 0.2
	// congestionLimitReduction is the fraction by which full read congestion reduces the limit.
	congestionLimitReduction = 0.5
	// minIdleFractionToRaise is the idle fraction of the cores above which a saturated limit rises by one.
	minIdleFractionToRaise = 0.1
	// maxIdleFractionToLower is the idle fraction of the cores below which a saturated limit falls by one.
	maxIdleFractionToLower = 0.03
)

// concurrencyControl adapts the limit of running requests to the idle fraction of the cores. Runs that wait
// for a disk leave cores idle, so more requests may run. Only saturated ticks count, at which the limit is
// reached and requests are queued: at other ticks cores are idle for lack of work.
type concurrencyControl struct {
	limit           float64
	idleFractionSum float64 // sum of the idle fraction of the cores over the saturated ticks of this period
	saturatedTicks  float64 // number of saturated ticks in this period
}

// startCapacity returns how many more requests may start now. Requests that wait for calls count toward the
// maximum concurrency, since all of them may return to the cores at the same time.
func (inst *Instance) startCapacity(now time.Duration) int {
	limit := int(inst.concurrency.limit * (1 - congestionLimitReduction*inst.readCongestion()))
	started := inst.running + inst.calls.inFlight + len(inst.calls.waiting)
	return min(limit-inst.running, inst.maxConcurrency(now)-started)
}

// maxConcurrency returns the maximum of the concurrency limit, which grows during slow start. It is at
// least 1.
func (inst *Instance) maxConcurrency(now time.Duration) int {
	perCore := inst.server.MaxConcurrencyPerCore.Or(defaultConcurrencyPerCore)
	perCore = 1 + max(perCore-1, 0)*inst.slowStartFraction(now)
	return max(int(perCore*float64(inst.cores)*maxConcurrencyFraction), 1)
}

// slowStartFraction returns the fraction of the concurrency above one per core that is allowed now. It grows
// linearly from the SlowStartFraction of the settings to 1 while the server is warming up.
func (inst *Instance) slowStartFraction(now time.Duration) float64 {
	warmUp := inst.server.WarmUpTime.Seconds(0)
	if !inst.server.SlowStart.On() || now >= warmUp {
		return 1
	}
	initialFraction := min(inst.server.SlowStartFraction.Or(defaultSlowStartFraction), 1)
	return initialFraction + (1-initialFraction)*now.Seconds()/warmUp.Seconds()
}

// updateConcurrencyLimit moves the limit by at most one per period. It never raises the limit above
// maxConcurrency, nor lowers it below the number of cores.
func (inst *Instance) updateConcurrencyLimit(now time.Duration) {
	control := &inst.concurrency
	idleFraction := control.idleFractionSum / max(control.saturatedTicks, 1)
	wasSaturated := control.saturatedTicks > 0
	switch {
	case wasSaturated && idleFraction > minIdleFractionToRaise && inst.period.completed > 0:
		control.limit = min(control.limit+1, float64(inst.maxConcurrency(now)))
	case wasSaturated && idleFraction < maxIdleFractionToLower:
		control.limit = max(control.limit-1, float64(inst.cores))
	}
	control.idleFractionSum = 0
	control.saturatedTicks = 0
}
