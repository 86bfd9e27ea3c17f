package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// retryWeight is the part of its weight that a marked retry counts with: its first attempt may still be
	// answered.
	retryWeight = 0.25
	// minFittingPart is the part of the expected run that must fit before the end of use for any chance of
	// success.
	minFittingPart = 0.8
	// minChanceOnIdleServer is the least chance of success of a useful request where a trial costs nothing.
	minChanceOnIdleServer = 0.01
	// minRunSeconds bounds what a weight is divided by.
	minRunSeconds = 1e-4
)

// valueDensity is the weight of a request over its expected work, by which requests are started and shed;
// 0 for one that can't be of use any more.
func (inst *Instance) valueDensity(now time.Duration, id RequestID) float64 {
	req := &inst.requests[id]
	class := &inst.classes[req.Class]
	run := class.expectedRun(req.CostHint)
	value := class.weight
	if req.Retry {
		value *= retryWeight
	}
	if req.isOverQuota {
		value *= inst.server.OverQuotaWeight.Or(1)
	}
	if req.state == queued {
		value *= inst.successChance(now, req, run)
	}
	if !inst.server.WeightPerWork.On() {
		value /= max(run, minRunSeconds)
	}
	// To the nearest power of two: an estimate is no better, and nearly equal classes must not starve each
	// other.
	return math.Exp2(math.Round(math.Log2(max(value, 0))))
}

// successChance is how likely a queued request is answered in time if it starts now, 0 to 1: the less of
// its expected run fits before the end of use, the less likely.
func (inst *Instance) successChance(now time.Duration, req *request, run float64) float64 {
	class := &inst.classes[req.Class]
	runWithCalls := run + max(class.responseTime-class.runTime, 0)
	fittingPart := (req.usefulUntil - now).Seconds() / runWithCalls
	chance := min((fittingPart-minFittingPart)/(1-minFittingPart), 1)
	hasIdleCore := inst.running < inst.cores && !inst.isShedding
	mayTry := req.CostHint > 0 && hasIdleCore || inst.isHalfIdle()
	if mayTry && req.usefulUntil > now {
		chance = max(chance, minChanceOnIdleServer) // estimates mislead, and a trial costs an idle server nothing
	}
	return chance
}

// isHalfIdle reports whether fewer than half of the cores are in use.
func (inst *Instance) isHalfIdle() bool { return 2*inst.running < inst.cores }

// tieBreak says which of two requests of equal value density counts as the lesser.
type tieBreak int

const (
	newerIsLess tieBreak = 1
	newerIsMore tieBreak = -1
)

// byValueDensity compares two requests, for the minimum and maximum of a list.
func (inst *Instance) byValueDensity(now time.Duration, ties tieBreak) func(a, b RequestID) int {
	return func(a, b RequestID) int {
		byDensity := cmp.Compare(inst.valueDensity(now, a), inst.valueDensity(now, b))
		byAge := cmp.Compare(inst.requests[b].arrivedAt, inst.requests[a].arrivedAt)
		return cmp.Or(byDensity, int(ties)*byAge)
	}
}
