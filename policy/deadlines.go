package policy

import "time"

// answerExpiredRequests answers all requests that answerIfExpired considers expired.
func (inst *Instance) answerExpiredRequests(now time.Duration) {
	for index := range inst.requests {
		req := &inst.requests[index]
		if req.state != untracked && !req.isAnswered {
			inst.answerIfExpired(now, RequestID(index))
		}
	}
}

// answerIfExpired answers a request shortly before its deadline, and in two cases earlier: a queued request
// is rejected as soon as its value density is 0, and a run that can be stopped fails as soon as it misses its
// latency objective. A run that can't be stopped may still be answered until the deadline.
func (inst *Instance) answerIfExpired(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	isAnswerDue := now >= req.deadline-answerMargin
	missesObjective := now >= req.usefulUntil
	switch {
	case req.state == queued:
		if isAnswerDue || inst.valueDensity(now, id) <= 0 {
			inst.reject(now, id, retryOnSameServer)
		}
	case req.state == coalesced:
		if isAnswerDue {
			inst.host.Fail(id)
			inst.release(id)
		}
	case isAnswerDue || missesObjective && inst.canStopRuns:
		inst.failRun(now, id)
	}
}

// failRun answers a started request with an error. Its run continues unless it can be stopped.
func (inst *Instance) failRun(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	inst.sampleLatency(now, req)
	inst.classes[req.Class].recordTimedOutRun((now - req.startedAt).Seconds(), req.callTime.Seconds())
	req.isAnswered = true
	inst.host.Fail(id)
	inst.stopRun(id)
}

// stopRun ends the work on a request that no longer needs an answer: a waiting call is not issued, and a run
// on the cores is stopped if runs can be stopped.
func (inst *Instance) stopRun(id RequestID) {
	inst.calls.waiting = removeValue(inst.calls.waiting, id)
	if inst.requests[id].state == running && inst.canStopRuns {
		inst.host.Stop(id)
	}
}

// CallerGone is called when the caller no longer waits for the request. No answer follows. A run is stopped
// if its class is safe or if it waits for a call to be issued.
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
