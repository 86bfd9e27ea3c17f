package policy

import "time"

const (
	// maxConcurrencyFraction is the part of a server's sustainable concurrency that is used at most.
	maxConcurrencyFraction = 0.75
	// defaultConcurrencyPerCore is the sustainable concurrency per core if the settings give none.
	defaultConcurrencyPerCore = 2
	// defaultSlowStartFraction is the part of the concurrency beyond one per core that is used at the start.
	defaultSlowStartFraction = 0.2
	// congestionLimitReduction is the part of the limit that is not used under full read congestion.
	congestionLimitReduction = 0.5
	// minIdleFractionToRaise is the idle part of the cores above which a saturated limit rises by one.
	minIdleFractionToRaise = 0.1
	// maxIdleFractionToLower is the idle part of the cores below which a saturated limit falls by one.
	maxIdleFractionToLower = 0.03
)

// concurrencyControl adapts the limit of running requests to the idle part of the cores. Runs that wait for
// a disk leave cores idle, so that more may run. Only ticks at which the limit is reached and requests are
// queued count: otherwise cores are idle for want of work.
type concurrencyControl struct {
	limit           float64
	idleFractionSum float64 // sum of the idle part of the cores over the saturated ticks of this period
	saturatedTicks  float64 // number of these ticks
}

// startCapacity returns how many more requests may start now. Requests at calls count toward the ceiling,
// since all of them may return to the cores at once.
func (inst *Instance) startCapacity(now time.Duration) int {
	limit := int(inst.concurrency.limit * (1 - congestionLimitReduction*inst.readCongestion()))
	started := inst.running + inst.calls.inFlight + len(inst.calls.waiting)
	return min(limit-inst.running, inst.maxConcurrency(now)-started)
}

// maxConcurrency returns the ceiling of the concurrency limit, which grows during slow start. It is at
// least 1.
func (inst *Instance) maxConcurrency(now time.Duration) int {
	perCore := inst.server.MaxConcurrencyPerCore.Or(defaultConcurrencyPerCore)
	perCore = 1 + max(perCore-1, 0)*inst.slowStartFraction(now)
	return max(int(perCore*float64(inst.cores)*maxConcurrencyFraction), 1)
}

// slowStartFraction grows from the settings' fraction to 1 while the server warms up.
func (inst *Instance) slowStartFraction(now time.Duration) float64 {
	warmUp := inst.server.WarmUpTime.Seconds(0)
	if !inst.server.SlowStart.On() || now >= warmUp {
		return 1
	}
	initialFraction := min(inst.server.SlowStartFraction.Or(defaultSlowStartFraction), 1)
	return initialFraction + (1-initialFraction)*now.Seconds()/warmUp.Seconds()
}

// updateConcurrencyLimit moves the limit by at most one a period, between the number of cores and the
// ceiling.
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
