package policy

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"thymechute/policy/settings"
)

const (
	// maxConsecutiveCallFailures is the number of consecutive failures after which calls are suspended.
	maxConsecutiveCallFailures = 5
	// callProbeInterval is the time from a failed call to the next probe while calls are suspended.
	callProbeInterval = 500 * time.Millisecond
	// slowCallFraction is the average call time above which calls are slow, as a fraction of the latency
	// objective.
	slowCallFraction = 0.1
	// maxOptionalCallWaitFraction is the maximum time that a request waits for an optional call to be issued,
	// as a fraction of the latency objective.
	maxOptionalCallWaitFraction = 0.15
	// minCallTimeout is the minimum timeout of a call.
	minCallTimeout = 10 * time.Millisecond
	// pastSamplesOfCallTime gives each new call a weight of 1/8 in the average call time.
	pastSamplesOfCallTime = 7
)

// dependencyCalls tracks the calls of running requests to the dependency.
type dependencyCalls struct {
	waiting             []RequestID     // requests that wait for their call to be issued
	inFlight            int             // calls issued and not yet returned
	abandoned           []time.Duration // times until which abandoned calls count as in flight
	averageTime         float64         // moving average, in seconds
	consecutiveFailures int
	nextProbeAt         time.Duration
	callQuota
}

// isSuspended reports whether calls are suspended after consecutive failures. Only probes are issued then.
func (c *dependencyCalls) isSuspended() bool {
	return c.consecutiveFailures >= maxConsecutiveCallFailures
}

// CallRequested is called when a run has reached a call to the dependency and waits for the result. Dispatch
// issues the call.
func (inst *Instance) CallRequested(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	if req.state != running {
		return
	}
	inst.running--
	req.state = awaitingCall
	req.callRequestedAt = now
	inst.calls.waiting = append(inst.calls.waiting, id)
}

// issueCalls issues waiting calls as far as the quota allows, those with the highest value density first.
func (inst *Instance) issueCalls(now time.Duration) {
	inst.skipOptionalCalls(now)
	for len(inst.calls.waiting) > 0 {
		usage := inst.meterCalls(now)
		// Among requests of equal value density, the newest has the most time left for its call.
		id := slices.MaxFunc(inst.calls.waiting, inst.byValueDensity(now, newerRanksHigher))
		if !inst.mayIssueCall(now, id, usage) {
			return
		}
		inst.issueCall(now, id, usage)
	}
}

// skipOptionalCalls resumes requests without their optional calls, which leaves the quota to required calls.
// While calls are suspended, or slow calls show that a shared dependency is overloaded, it skips all optional
// calls unless a probe is due. Otherwise it skips those that have waited too long or would miss the latency
// objective.
func (inst *Instance) skipOptionalCalls(now time.Duration) {
	isProbeDue := inst.calls.inFlight == 0 && now >= inst.calls.nextProbeAt
	isOverloaded := inst.server.Dependency == settings.DependencyShared && inst.areCallsSlow()
	skipAll := (inst.calls.isSuspended() || isOverloaded) && !isProbeDue
	for _, id := range slices.Clone(inst.calls.waiting) {
		req := &inst.requests[id]
		class := &inst.classes[req.Class]
		waited := (now - req.callRequestedAt).Seconds()
		hasWaitedTooLong := waited > maxOptionalCallWaitFraction*class.latencyObjective.Seconds()
		if class.canDegrade() && (skipAll || hasWaitedTooLong || inst.wouldBeLate(now, req)) {
			inst.resumeRun(now, id)
			inst.host.SkipCall(id)
		}
	}
}

// wouldBeLate reports whether a call of average duration would miss the request's latency objective.
func (inst *Instance) wouldBeLate(now time.Duration, req *request) bool {
	return (req.usefulUntil - now).Seconds() < inst.calls.averageTime
}

// mayIssueCall reports whether a call may be issued: it must be within the quota, it must be a probe if calls
// are suspended, and it must be likely to return in time, since an abandoned call wastes the dependency's
// work. If no other call is in flight, a call that is likely to be late is issued too, to measure the call
// time.
func (inst *Instance) mayIssueCall(now time.Duration, id RequestID, usage callUsage) bool {
	hasCallsInFlight := inst.calls.inFlight > 0
	if hasCallsInFlight && inst.wouldBeLate(now, &inst.requests[id]) {
		return false
	}
	isPartialCallBlocked := usage.nextCallExceedsLimit() && inst.calls.overuse > 0
	if usage.inFlight >= usage.limit || isPartialCallBlocked {
		return false
	}
	if !inst.calls.isSuspended() {
		return true
	}
	return !hasCallsInFlight && now >= inst.calls.nextProbeAt
}

func (inst *Instance) issueCall(now time.Duration, id RequestID, usage callUsage) {
	req := &inst.requests[id]
	timeout := min(req.usefulUntil, req.deadline-answerMargin) - now
	if usage.nextCallExceedsLimit() {
		timeout = min(timeout, inst.maxPartialCallTime(usage))
	}
	inst.calls.waiting = removeValue(inst.calls.waiting, id)
	req.state = calling
	inst.calls.inFlight++
	inst.host.Call(id, max(timeout, minCallTimeout))
}

// resumeRun sets a request whose call has ended or is skipped to the running state.
func (inst *Instance) resumeRun(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	inst.calls.waiting = removeValue(inst.calls.waiting, id)
	req.callTime += now - req.callRequestedAt
	req.state = running
	inst.running++
}

// areCallsSlow reports whether the average call time is so long that the dependency is probably overloaded.
func (inst *Instance) areCallsSlow() bool {
	return inst.calls.averageTime > slowCallFraction*inst.referenceClass().latencyObjective.Seconds()
}

// CallReturned is called when a call has ended; took is its duration. After a failure, an optional call is
// skipped; a required call is issued again if the class is safe or the call never ran; otherwise the request
// fails.
func (inst *Instance) CallReturned(now time.Duration, id RequestID, outcome Outcome, took time.Duration) {
	req := &inst.requests[id]
	if req.state != calling {
		return
	}
	inst.endCall(now)
	if outcome == TimedOut || outcome == Reset || outcome == Unknown {
		inst.countAbandonedCall(now)
	}
	inst.resumeRun(now, id)
	inst.recordCallOutcome(now, outcome, took)
	if outcome != OK {
		inst.handleFailedCall(now, id, outcome)
	}
}

// recordCallOutcome updates the average call time and the number of consecutive failures. Only calls that
// completed or timed out are samples of the call time. A call that timed out in less than the average call
// time gives no information about the dependency: it counts neither as a failure nor as a failed probe.
func (inst *Instance) recordCallOutcome(now time.Duration, outcome Outcome, took time.Duration) {
	wasCutShort := outcome == TimedOut && took.Seconds() < inst.calls.averageTime
	if wasCutShort {
		return
	}
	if outcome == OK || outcome == TimedOut {
		updateAverage(&inst.calls.averageTime, took.Seconds(), pastSamplesOfCallTime)
	}
	if outcome == OK {
		if inst.calls.isSuspended() {
			inst.host.Log("dependency calls resumed", zap.Duration("probe_took", took))
		}
		inst.calls.consecutiveFailures = 0
		return
	}
	inst.calls.nextProbeAt = now + callProbeInterval
	inst.calls.consecutiveFailures++
	if inst.calls.consecutiveFailures == maxConsecutiveCallFailures {
		inst.host.Log("dependency calls suspended",
			zap.Int("consecutive_failures", inst.calls.consecutiveFailures))
	}
}

func (inst *Instance) handleFailedCall(now time.Duration, id RequestID, outcome Outcome) {
	req := &inst.requests[id]
	class := &inst.classes[req.Class]
	if !req.isAnswered && class.canDegrade() {
		inst.host.SkipCall(id)
		return
	}
	inst.CallRequested(now, id)
	mayRepeat := class.isSafe || outcome.NeverRan()
	switch {
	case req.isAnswered:
		inst.stopRun(id)
	case !mayRepeat || now >= req.usefulUntil:
		inst.failRun(now, id)
	}
}
