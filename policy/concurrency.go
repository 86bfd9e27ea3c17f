package policy

import "time"

const (
	// maxConcurrencyPart is the part used of the concurrency that a server sustains, which is a ceiling and no
	// target.
	maxConcurrencyPart = 0.75
	// defaultConcurrencyPerCore is the concurrency that is sustained where the settings say nothing.
	defaultConcurrencyPerCore = 2
	// defaultSlowStartFraction is the part of it that is sustained at the start.
	defaultSlowStartFraction = 0.2
	// congestionCut is the part of the limit given up under full read congestion.
	congestionCut = 0.5
	// minIdlePartToRaise is the part of the cores that must be idle at the limit for the limit to rise by one.
	minIdlePartToRaise = 0.1
	// maxIdlePartToLower is the part of the cores under which the limit falls by one.
	maxIdlePartToLower = 0.03
)

// concurrencyControl is the limit of requests on the cores, and what it is set by. Runs that wait for a
// disk leave cores idle, which lets more run: seen while as many run as may and others wait.
type concurrencyControl struct {
	limit            float64
	idleCoreSum      float64 // a period's sum of the part of idle cores, over its saturated Ticks
	saturatedSamples float64 // Ticks at the limit with requests in the queue, in this period
}

// startCapacity is how many more requests may start now. The requests at calls count toward the ceiling,
// since they all may come back to the cores at once.
func (inst *Instance) startCapacity(now time.Duration) int {
	limit := int(inst.concurrency.limit * (1 - congestionCut*inst.readCongestion()))
	started := inst.running + inst.calls.inFlight + len(inst.calls.waiting)
	return min(limit-inst.running, inst.maxConcurrency(now)-started)
}

// maxConcurrency is the ceiling of the concurrency limit: a part of what the server sustains, which grows
// through slow start. It is at least 1.
func (inst *Instance) maxConcurrency(now time.Duration) int {
	perCore := inst.server.MaxConcurrencyPerCore.Or(defaultConcurrencyPerCore)
	perCore = 1 + max(perCore-1, 0)*inst.slowStartFraction(now)
	return max(int(perCore*float64(inst.cores)*maxConcurrencyPart), 1)
}

// slowStartFraction grows from the settings' fraction to 1 while the server warms up.
func (inst *Instance) slowStartFraction(now time.Duration) float64 {
	warmUp := inst.server.WarmUpTime.Seconds(0)
	if !inst.server.SlowStart.On() || now >= warmUp {
		return 1
	}
	from := min(inst.server.SlowStartFraction.Or(defaultSlowStartFraction), 1)
	return from + (1-from)*now.Seconds()/warmUp.Seconds()
}

// updateConcurrencyLimit moves the limit by at most one a period, between the number of cores and the
// ceiling.
func (inst *Instance) updateConcurrencyLimit(now time.Duration) {
	control := &inst.concurrency
	idlePart := control.idleCoreSum / max(control.saturatedSamples, 1)
	wasSaturated := control.saturatedSamples > 0
	switch {
	case wasSaturated && idlePart > minIdlePartToRaise && inst.period.completed > 0:
		control.limit = min(control.limit+1, float64(inst.maxConcurrency(now)))
	case wasSaturated && idlePart < maxIdlePartToLower:
		control.limit = max(control.limit-1, float64(inst.cores))
	}
	control.idleCoreSum = 0
	control.saturatedSamples = 0
}
