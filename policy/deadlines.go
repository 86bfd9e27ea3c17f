package policy

import "time"

// answerExpired answers all requests whose time is over.
func (inst *Instance) answerExpired(now time.Duration) {
	for n := range inst.requests {
		if req := &inst.requests[n]; req.state != untracked && !req.isAnswered {
			inst.answerIfExpired(now, RequestID(n))
		}
	}
}

// answerIfExpired answers a request shortly before its deadline. One in the queue is rejected as soon as it
// can't be of use, and a run that can't be and can be stopped fails then.
func (inst *Instance) answerIfExpired(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	isDue := now >= req.deadline-answerMargin
	isUseless := now >= req.usefulUntil
	switch {
	case req.state == queued:
		if isDue || inst.valueDensity(now, id) <= 0 {
			inst.reject(now, id, retryOnSameServer)
		}
	case req.state == coalesced:
		if isDue {
			inst.host.Fail(id)
			inst.release(id)
		}
	case isDue || isUseless && inst.canStopRuns:
		inst.failRun(now, id)
	}
}

// failRun answers a request that has started by an error. Its run goes on unless it can be stopped.
func (inst *Instance) failRun(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	inst.sampleLatency(now, req)
	inst.classes[req.Class].learnCutOff((now - req.startedAt).Seconds(), req.callTime.Seconds())
	req.isAnswered = true
	inst.host.Fail(id)
	inst.stopRun(id)
}

// stopRun ends the work on a request that needs no answer: its call is not issued, its run taken off the
// cores where runs can be stopped.
func (inst *Instance) stopRun(id RequestID) {
	inst.calls.waiting = without(inst.calls.waiting, id)
	if inst.requests[id].state == running && inst.canStopRuns {
		inst.host.Stop(id)
	}
}

// CallerGone tells that nobody waits for this request any more, so that no answer is owed.
func (inst *Instance) CallerGone(_ time.Duration, id RequestID) {
	req := &inst.requests[id]
	if req.state == queued || req.state == coalesced {
		inst.release(id)
		return
	}
	req.isAnswered = true
	if inst.classes[req.Class].isSafe || req.state == awaitingCall {
		inst.stopRun(id)
	}
}
