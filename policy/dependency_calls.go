package policy

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"thymechute/policy/settings"
)

const (
	// maxCallFailures is the number of consecutive failures after which calls are suspended.
	maxCallFailures = 5
	// callProbeInterval is the time between two probes while calls are suspended.
	callProbeInterval = 500 * ms
	// slowCallPart is the part of the latency objective from which on the average call is slow.
	slowCallPart = 0.1
	// maxOptionalCallWait is the part of the latency objective for which a request waits for a call it can do
	// without.
	maxOptionalCallWait = 0.15
	// minCallPatience is the least time that a call is given.
	minCallPatience = 10 * ms
	// callTimeSamples is the weight of the past in the average time of calls.
	callTimeSamples = 7
)

// dependencyCalls are the calls of running requests to the dependency.
type dependencyCalls struct {
	waiting             []RequestID     // requests that wait for their call to be issued
	inFlight            int             // issued and not returned
	abandoned           []time.Duration // until when calls given up count as in flight
	averageTime         float64         // moving average, in seconds
	consecutiveFailures int
	nextProbe           time.Duration
	callQuota
}

// isSuspended reports whether calls are stopped after failures, but for single probes.
func (c *dependencyCalls) isSuspended() bool { return c.consecutiveFailures >= maxCallFailures }

// CallRequested tells that a run has come to a call and waits for it.
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

// issueCalls issues the calls that may be in flight, those of most value density first.
func (inst *Instance) issueCalls(now time.Duration) {
	inst.skipOptionalCalls(now)
	for len(inst.calls.waiting) > 0 {
		usage := inst.meterCalls(now)
		// Of equal ones the newest: it has time for its call.
		id := slices.MaxFunc(inst.calls.waiting, inst.byValueDensity(now, newerIsMore))
		if !inst.mayIssueCall(now, id, usage) {
			return
		}
		inst.issueCall(now, id, usage)
	}
}

// skipOptionalCalls lets requests that can do without their call go on without it, so that the others get
// theirs: all of them while calls fail or are slow, but for a probe, and otherwise those that have waited
// long or would be late.
func (inst *Instance) skipOptionalCalls(now time.Duration) {
	isProbeDue := inst.calls.inFlight == 0 && now >= inst.calls.nextProbe
	isOverloaded := inst.server.Dependency == settings.DependencyShared && inst.areCallsSlow()
	skipAll := (inst.calls.isSuspended() || isOverloaded) && !isProbeDue
	for _, id := range slices.Clone(inst.calls.waiting) {
		req := &inst.requests[id]
		class := &inst.classes[req.Class]
		waited := (now - req.callRequestedAt).Seconds()
		hasWaitedLong := waited > maxOptionalCallWait*class.latencyObjective.Seconds()
		if class.canDegrade() && (skipAll || hasWaitedLong || inst.wouldBeLate(now, req)) {
			inst.resumeRun(now, id)
			inst.host.SkipCall(id)
		}
	}
}

// wouldBeLate reports whether an average call takes longer than the request is of use.
func (inst *Instance) wouldBeLate(now time.Duration, req *request) bool {
	return (req.usefulUntil - now).Seconds() < inst.calls.averageTime
}

// mayIssueCall reports whether the call is within the quota, is not suspended, and would not be cut off:
// such a call wastes work of the dependency, and only a lone one is made all the same.
func (inst *Instance) mayIssueCall(now time.Duration, id RequestID, usage callUsage) bool {
	hasOthers := inst.calls.inFlight > 0
	if hasOthers && inst.wouldBeLate(now, &inst.requests[id]) {
		return false
	}
	if usage.inFlight >= usage.limit || usage.nextExceeds() && inst.calls.overuse > 0 {
		return false
	}
	return !inst.calls.isSuspended() || !hasOthers && now >= inst.calls.nextProbe
}

func (inst *Instance) issueCall(now time.Duration, id RequestID, usage callUsage) {
	req := &inst.requests[id]
	patience := min(req.usefulUntil, req.deadline-answerMargin) - now
	if usage.nextExceeds() {
		patience = min(patience, inst.maxPartialCallTime(usage))
	}
	inst.calls.waiting = without(inst.calls.waiting, id)
	req.state = calling
	inst.calls.inFlight++
	inst.host.Call(id, max(patience, minCallPatience))
}

// resumeRun brings a request from a call back to the cores.
func (inst *Instance) resumeRun(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	inst.calls.waiting = without(inst.calls.waiting, id)
	req.callTime += now - req.callRequestedAt
	req.state = running
	inst.running++
}

// areCallsSlow reports whether calls take so long that the dependency is likely overloaded.
func (inst *Instance) areCallsSlow() bool {
	return inst.calls.averageTime > slowCallPart*inst.referenceClass().latencyObjective.Seconds()
}

// CallReturned is the end of a call. A failed one is skipped or made again, or the request fails where its
// call may have had its effect.
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
	inst.learnCall(now, outcome, took)
	if outcome != OK {
		inst.handleFailedCall(now, id, outcome)
	}
}

// learnCall takes the outcome and the time of a call. What was rejected at once tells nothing of a call's
// time, and a call that had less time than calls take tells nothing at all: it must not suspend calls, nor
// be the probe that keeps them suspended.
func (inst *Instance) learnCall(now time.Duration, outcome Outcome, took time.Duration) {
	wasCutShort := outcome == TimedOut && took.Seconds() < inst.calls.averageTime
	if wasCutShort {
		return
	}
	if outcome == OK || outcome == TimedOut {
		updateAverage(&inst.calls.averageTime, took.Seconds(), callTimeSamples)
	}
	if outcome == OK {
		if inst.calls.isSuspended() {
			inst.host.Log("dependency calls resumed", zap.Duration("probe_took", took))
		}
		inst.calls.consecutiveFailures = 0
		return
	}
	inst.calls.nextProbe = now + callProbeInterval
	inst.calls.consecutiveFailures++
	if inst.calls.consecutiveFailures == maxCallFailures {
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
