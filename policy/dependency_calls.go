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
	// callProbeInterval is the time between two probes while calls are suspended.
	callProbeInterval = 500 * time.Millisecond
	// slowCallFraction is the average call time above which calls are slow, as a part of the latency objective.
	slowCallFraction = 0.1
	// maxOptionalCallWaitFraction is how long a request waits for an optional call, as a part of the latency
	// objective.
	maxOptionalCallWaitFraction = 0.15
	// minCallTimeout is the least timeout of a call.
	minCallTimeout = 10 * time.Millisecond
	// callTimePastSamples is the number of past samples that the average call time stands for.
	callTimePastSamples = 7
)

// dependencyCalls are the calls of running requests to the dependency.
type dependencyCalls struct {
	waiting             []RequestID     // requests that wait for their call to be issued
	inFlight            int             // issued and not returned
	abandoned           []time.Duration // until when abandoned calls count as in flight
	averageTime         float64         // moving average, in seconds
	consecutiveFailures int
	nextProbeAt         time.Duration
	callQuota
}

// isSuspended reports whether calls are suspended after consecutive failures; only probes are made then.
func (c *dependencyCalls) isSuspended() bool {
	return c.consecutiveFailures >= maxConsecutiveCallFailures
}

// CallRequested is called when a run has come to a call to the dependency and waits for its reply. Dispatch
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

// issueCalls issues waiting calls as far as the quota allows, in the order of value density.
func (inst *Instance) issueCalls(now time.Duration) {
	inst.skipOptionalCalls(now)
	for len(inst.calls.waiting) > 0 {
		usage := inst.meterCalls(now)
		// Of equal requests the newest comes first, since it has most time left for its call.
		id := slices.MaxFunc(inst.calls.waiting, inst.byValueDensity(now, newerRanksHigher))
		if !inst.mayIssueCall(now, id, usage) {
			return
		}
		inst.issueCall(now, id, usage)
	}
}

// skipOptionalCalls continues requests without their optional calls, which leaves the quota to the required
// ones. All optional calls are skipped while calls are suspended or slow, except when a probe is due;
// otherwise those that have waited too long or would miss the latency objective.
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

// mayIssueCall reports whether a call may be issued: it must be within the quota, calls must not be
// suspended (a probe aside), and it must be likely to return in time, as an abandoned call wastes the
// dependency's work. With no other call in flight a late one is made too, to measure the call time.
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

// resumeRun returns a request from its call to the running state.
func (inst *Instance) resumeRun(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	inst.calls.waiting = removeValue(inst.calls.waiting, id)
	req.callTime += now - req.callRequestedAt
	req.state = running
	inst.running++
}

// areCallsSlow reports whether the average call takes so long that the dependency is probably overloaded.
func (inst *Instance) areCallsSlow() bool {
	return inst.calls.averageTime > slowCallFraction*inst.referenceClass().latencyObjective.Seconds()
}

// CallReturned is called when a call has ended with the outcome after the time it took. After a failure an
// optional call is skipped; a call that is safe to repeat, or that never ran, is made again; otherwise the
// request fails.
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

// recordCallOutcome updates the average call time and the consecutive failures. Only calls that completed or
// timed out say how long calls take. A call whose timeout was shorter than the average call says nothing
// about the dependency: it neither suspends calls nor counts as a failed probe.
func (inst *Instance) recordCallOutcome(now time.Duration, outcome Outcome, took time.Duration) {
	wasCutShort := outcome == TimedOut && took.Seconds() < inst.calls.averageTime
	if wasCutShort {
		return
	}
	if outcome == OK || outcome == TimedOut {
		updateAverage(&inst.calls.averageTime, took.Seconds(), callTimePastSamples)
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
