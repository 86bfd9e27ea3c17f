package policy

import "time"

// Dispatch issues calls and starts requests. It is called once all that came in together has been handed
// on.
func (inst *Instance) Dispatch(now time.Duration) {
	inst.issueCalls(now)
	for inst.startCapacity(now) > 0 && len(inst.queue) > 0 {
		id, found := inst.nextToStart(now)
		if !found {
			return
		}
		inst.start(now, id)
	}
}

// nextToStart picks the request of most value density that may start, of equal ones the one that is useful
// for the shortest time. It rejects those that can't be of use any more.
func (inst *Instance) nextToStart(now time.Duration) (best RequestID, found bool) {
	callersMayStart := inst.callersMayStart()
	mostDensity := 0.0
	for at := len(inst.queue) - 1; at >= 0; at-- {
		id := inst.queue[at]
		density := inst.valueDensity(now, id)
		if density <= 0 {
			inst.reject(now, id, retryOnSameServer)
			continue
		}
		req := &inst.requests[id]
		class := &inst.classes[req.Class]
		needsCall := class.makesCalls && !class.canDegrade()
		if needsCall && !callersMayStart || !inst.memory.fits(inst.runMemoryKB(req.MemoryKB)) {
			continue
		}
		isMoreUrgent := density == mostDensity && req.usefulUntil <= inst.requests[best].usefulUntil
		if density > mostDensity || isMoreUrgent {
			best = id
			mostDensity = density
			found = true
		}
	}
	return best, found
}

// callersMayStart reports whether requests that can't do without a call may start: not behind others that
// wait for their call, nor while a single call probes whether calls succeed again. On a half idle server a
// trial costs nothing, as not all come to a call.
func (inst *Instance) callersMayStart() bool {
	if inst.isHalfIdle() && len(inst.calls.waiting) < inst.cores {
		return true
	}
	isProbing := inst.calls.isSuspended() && inst.calls.inFlight > 0
	return len(inst.calls.waiting) == 0 && !isProbing
}

func (inst *Instance) start(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	inst.queue = without(inst.queue, id)
	inst.memory.usedKB += inst.runMemoryKB(req.MemoryKB)
	req.state = running
	req.hasStarted = true
	req.startedAt = now
	req.queueDelay = now - req.arrivedAt
	inst.running++
	inst.host.Start(id)
}

// RunEnded is the end of a run, or the answer to a coalesced retry.
func (inst *Instance) RunEnded(now time.Duration, id RequestID, outcome Outcome, took time.Duration) {
	req := &inst.requests[id]
	switch req.state {
	case untracked, queued:
		return
	case running:
		inst.running--
	case calling:
		inst.endCall(now)
		inst.countAbandonedCall(now)
	}
	if !req.isAnswered && req.state != coalesced && outcome != NotStarted {
		inst.finishRun(now, id, outcome, took)
	}
	// A key entry of what was never started must not stand in a later attempt's way.
	req.hasStarted = req.hasStarted && outcome != NotStarted
	inst.release(id)
}

// finishRun learns from a run that was not answered before its end, and answers one that was cancelled.
func (inst *Instance) finishRun(now time.Duration, id RequestID, outcome Outcome, took time.Duration) {
	req := &inst.requests[id]
	inst.sampleLatency(now, req)
	switch outcome {
	case OK:
		inst.period.completed++
		run := max((took - req.callTime).Seconds(), minRunSeconds)
		inst.classes[req.Class].learnCompleted(run, took, req.CostHint)
	case Cancelled:
		inst.host.Fail(id)
	}
}
