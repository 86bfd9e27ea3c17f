package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// retryWeightFactor is the factor on the weight of a request marked as a retry: its first attempt may still be
	// answered.
	retryWeightFactor = 0.25
	// minTimeLeftRatio is the part of the expected run time that must be left before the latency objective ends;
	// with less the chance of success is 0.
	minTimeLeftRatio = 0.8
	// minProbabilityWithIdleCores is the least chance of success on a server with idle cores, where a run that comes
	// too late displaces no other.
	minProbabilityWithIdleCores = 0.01
	// minRunSeconds is the least run time by which a weight is divided.
	minRunSeconds = 1e-4
)

// valueDensity returns the ratio of a request's weight to its expected work, the order in which requests are
// started and shed. It is 0 if the request can't meet its latency objective any more.
func (inst *Instance) valueDensity(now time.Duration, id RequestID) float64 {
	req := &inst.requests[id]
	class := &inst.classes[req.Class]
	runSeconds := class.expectedRunSeconds(req.CostHint)
	value := class.weight
	if req.IsRetry {
		value *= retryWeightFactor
	}
	if req.isOverQuota {
		value *= inst.server.OverQuotaWeight.Or(1)
	}
	if req.state == queued {
		value *= inst.successProbability(now, req, runSeconds)
	}
	if !inst.server.WeightPerWork.On() {
		value /= max(runSeconds, minRunSeconds)
	}
	// Rounded to the nearest power of two: the estimates are no more precise, and classes of nearly equal
	// density must not starve each other.
	return math.Exp2(math.Round(math.Log2(max(value, 0))))
}

// successProbability estimates the chance, 0 to 1, that a queued request meets its latency objective if it starts
// now, from the part of its expected run time that is left before then. runSeconds is without calls.
func (inst *Instance) successProbability(now time.Duration, req *request, runSeconds float64) float64 {
	class := &inst.classes[req.Class]
	runWithCalls := runSeconds + max(class.responseTime-class.runTime, 0)
	timeLeftRatio := (req.usefulUntil - now).Seconds() / runWithCalls
	probability := min((timeLeftRatio-minTimeLeftRatio)/(1-minTimeLeftRatio), 1)
	hasIdleCore := inst.running < inst.cores && !inst.isShedding
	displacesNoOther := inst.isHalfIdle() || hasIdleCore && req.CostHint > 0
	if displacesNoOther && req.usefulUntil > now {
		probability = max(probability, minProbabilityWithIdleCores) // the estimate of the run time may be too high
	}
	return probability
}

// isHalfIdle reports whether fewer than half of the cores are in use.
func (inst *Instance) isHalfIdle() bool { return 2*inst.running < inst.cores }

// tieBreak says which of two requests of equal value density counts as the lesser.
type tieBreak int

const (
	newerRanksLower  tieBreak = 1
	newerRanksHigher tieBreak = -1
)

// byValueDensity returns a comparison of requests by value density, and by arrival where that is equal.
func (inst *Instance) byValueDensity(now time.Duration, ties tieBreak) func(a, b RequestID) int {
	return func(a, b RequestID) int {
		byDensity := cmp.Compare(inst.valueDensity(now, a), inst.valueDensity(now, b))
		byAge := cmp.Compare(inst.requests[b].arrivedAt, inst.requests[a].arrivedAt)
		return cmp.Or(byDensity, int(ties)*byAge)
	}
}
