package policy

import "time"

// Dispatch issues calls and starts requests as far as the limits allow. The host calls it after it has
// passed on all events that it received at the same time.
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

// nextToStart returns the queued request with the highest value density that may start; among equal ones, the
// one that reaches its latency objective first. It rejects queued requests with a value density of 0.
func (inst *Instance) nextToStart(now time.Duration) (best RequestID, found bool) {
	mayStartCalling := inst.mayStartRequestsWithCall()
	maxDensity := 0.0
	for index := len(inst.queue) - 1; index >= 0; index-- { // backwards, because reject removes entries
		id := inst.queue[index]
		density := inst.valueDensity(now, id)
		if density <= 0 {
			inst.reject(now, id, retryOnSameServer)
			continue
		}
		req := &inst.requests[id]
		class := &inst.classes[req.Class]
		needsCall := class.makesCalls && !class.canDegrade()
		isBlockedByCalls := needsCall && !mayStartCalling
		if isBlockedByCalls || !inst.memory.fits(inst.runMemoryKB(req.MemoryKB)) {
			continue
		}
		isMoreUrgent := density == maxDensity && req.usefulUntil <= inst.requests[best].usefulUntil
		if density > maxDensity || isMoreUrgent {
			best = id
			maxDensity = density
			found = true
		}
	}
	return best, found
}

// mayStartRequestsWithCall reports whether requests with a required call may start: not while other requests
// wait for their calls to be issued, nor while a probe of suspended calls is in flight. On a half idle server
// they may start as long as fewer requests wait than there are cores, since not every run reaches its call.
func (inst *Instance) mayStartRequestsWithCall() bool {
	if inst.isHalfIdle() && len(inst.calls.waiting) < inst.cores {
		return true
	}
	isProbing := inst.calls.isSuspended() && inst.calls.inFlight > 0
	return len(inst.calls.waiting) == 0 && !isProbing
}

func (inst *Instance) start(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	inst.queue = removeValue(inst.queue, id)
	inst.memory.usedKB += inst.runMemoryKB(req.MemoryKB)
	req.state = running
	req.hasStarted = true
	req.startedAt = now
	req.queueDelay = now - req.arrivedAt
	inst.running++
	inst.host.Start(id)
}

// RunEnded is called when a run has ended, or when a coalesced retry was answered; took is the duration of
// the run. It releases the request.
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
	// release removes the key entry of a request that was never started, so that a retry can run.
	req.hasStarted = req.hasStarted && outcome != NotStarted
	inst.release(id)
}

// finishRun samples the latency of a run that was not answered before its end. It updates the estimates of
// the class if the run completed, and answers a cancelled run with an error.
func (inst *Instance) finishRun(now time.Duration, id RequestID, outcome Outcome, took time.Duration) {
	req := &inst.requests[id]
	inst.sampleLatency(now, req)
	switch outcome {
	case OK:
		inst.period.completed++
		runSeconds := max((took - req.callTime).Seconds(), minRunSeconds)
		inst.classes[req.Class].recordCompletedRun(runSeconds, took, req.CostHint)
	case Cancelled:
		inst.host.Fail(id)
	}
}
