package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// retryWeightFactor multiplies the weight of a request marked as a retry, because its first attempt may
	// still be answered.
	retryWeightFactor = 0.25
	// minTimeLeftRatio is the ratio of the time left within the latency objective to the expected run time at
	// and below which the success probability is 0.
	minTimeLeftRatio = 0.8
	// minProbabilityWithIdleCores is the minimum success probability on a server with idle cores, where a run
	// that ends too late does not displace another one.
	minProbabilityWithIdleCores = 0.01
	// minRunSeconds is the minimum run time by which a weight is divided.
	minRunSeconds = 1e-4
)

// valueDensity returns the ratio of a request's weight to its expected work. Requests with a higher value
// density are started first and shed last. It is 0 if the request can no longer meet its latency objective.
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
	// Rounded to the nearest power of two: the estimates are not more precise than that, and classes of nearly
	// equal value density must not starve each other.
	return math.Exp2(math.Round(math.Log2(max(value, 0))))
}

// successProbability estimates the probability, 0 to 1, that a queued request meets its latency objective if
// it starts now, from the ratio of the time left to the expected run time. runSeconds excludes calls.
func (inst *Instance) successProbability(now time.Duration, req *request, runSeconds float64) float64 {
	class := &inst.classes[req.Class]
	runWithCalls := runSeconds + max(class.responseTime-class.runTime, 0)
	timeLeftRatio := (req.usefulUntil - now).Seconds() / runWithCalls
	probability := min((timeLeftRatio-minTimeLeftRatio)/(1-minTimeLeftRatio), 1)
	hasIdleCore := inst.running < inst.cores && !inst.isShedding
	displacesNoOther := inst.isHalfIdle() || hasIdleCore && req.CostHint > 0
	if displacesNoOther && req.usefulUntil > now {
		probability = max(probability, minProbabilityWithIdleCores) // the estimated run time may be too high
	}
	return probability
}

// isHalfIdle reports whether fewer than half of the cores are in use.
func (inst *Instance) isHalfIdle() bool { return 2*inst.running < inst.cores }

// tieBreak selects which of two requests of equal value density ranks lower.
type tieBreak int

const (
	newerRanksLower  tieBreak = 1
	newerRanksHigher tieBreak = -1
)

// byValueDensity returns a function that compares requests by value density, and by arrival time if that is
// equal.
func (inst *Instance) byValueDensity(now time.Duration, ties tieBreak) func(a, b RequestID) int {
	return func(a, b RequestID) int {
		byDensity := cmp.Compare(inst.valueDensity(now, a), inst.valueDensity(now, b))
		byAge := cmp.Compare(inst.requests[b].arrivedAt, inst.requests[a].arrivedAt)
		return cmp.Or(byDensity, int(ties)*byAge)
	}
}
