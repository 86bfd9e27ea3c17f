package policy

import (
	"slices"
	"time"
)

const (
	// answerMargin is the minimum time between the answer to a request and its deadline, so that the answer
	// reaches the caller in time.
	answerMargin = 40 * time.Millisecond
	// fleetOverloadRejectedShare is the share of rejected requests, 0 to 1, above which the other servers are
	// assumed to be overloaded too.
	fleetOverloadRejectedShare = 0.05
	// pastSamplesOfRequestSize gives each new request a weight of 1/16 in the average request size.
	pastSamplesOfRequestSize = 15
	// pastSamplesOfReadDelay gives each new request a weight of 1/4 in the average read delay, so that the
	// average follows congestion quickly.
	pastSamplesOfReadDelay = 3
)

// Admit handles a request that has been read: it rejects the request, coalesces it with the original that
// it retries, or queues it. Dispatch starts queued requests, after all requests that were read at the same
// time are in the queue. now is the time since the server's start.
func (inst *Instance) Admit(now time.Duration, id RequestID, arrived Request) {
	req := inst.track(now, id, arrived)
	if req.Class < 0 || req.Class >= len(inst.classes) {
		inst.reject(now, id, retryOnSameServer)
		return
	}
	inst.setDeadlines(now, req)
	if req.Tenant >= 0 && req.Tenant < len(inst.tenants) {
		req.isOverQuota = !inst.tenants[req.Tenant].Allow(now, inst.server.FleetSize.Or(1))
	}
	updateAverage(&inst.memory.averageRequestKB, req.MemoryKB, pastSamplesOfRequestSize)
	updateAverage(&inst.readDelay, req.ReadDelay.Seconds(), pastSamplesOfReadDelay)
	if req.Original != NoOriginal && !inst.replaceOriginal(now, id) {
		return
	}
	if req.arrivedAt > inst.drain.acceptUntil {
		inst.reject(now, id, retryOnAnyServer)
		return
	}
	if now >= req.deadline-answerMargin {
		inst.reject(now, id, retryOnSameServer)
		return
	}
	if !inst.shedToAdmit(now, id) {
		return
	}
	inst.queue = append(inst.queue, id)
	if req.keyExpiresAt == 0 {
		inst.recordKey(now, id)
	}
}

// setDeadlines sets the time by which the request must be answered, and the time until which an answer
// meets the latency objective.
func (inst *Instance) setDeadlines(now time.Duration, req *request) {
	class := &inst.classes[req.Class]
	req.deadline = max(req.arrivedAt+class.callerTimeout, now)
	if req.CallerTimeout > 0 {
		req.deadline = now + req.CallerTimeout
	}
	req.deadline = min(req.deadline, inst.drain.stopAt)
	req.usefulUntil = min(req.arrivedAt+class.latencyObjective-answerMargin, req.deadline)
}

// replaceOriginal handles a retry of a request that this server has seen before, and reports whether to
// queue the retry. If the original is still queued, its caller has given up on it: the retry takes over its
// key entry and the original is rejected. If the original may have run, the retry must not run: it is
// coalesced with the original, or fails if no memory is left.
func (inst *Instance) replaceOriginal(now time.Duration, id RequestID) bool {
	req := &inst.requests[id]
	if inst.isQueued(req.Original) {
		original := &inst.requests[req.Original]
		req.usefulUntil = min(req.deadline, original.usefulUntil)
		req.keyExpiresAt = original.keyExpiresAt
		original.keyExpiresAt = 0
		inst.recordKey(now, id)
		inst.reject(now, req.Original, retryOnAnyServer)
		return true
	}
	if inst.memory.fits(0) {
		req.state = coalesced
		inst.host.Coalesce(id)
		return false
	}
	inst.host.Fail(id)
	inst.release(id)
	return false
}

// isQueued reports whether id is a queued request that has never started. It is false for OriginalGone and
// for ids that were never used.
func (inst *Instance) isQueued(id RequestID) bool {
	if id < 0 || int(id) >= len(inst.requests) {
		return false
	}
	req := &inst.requests[id]
	return req.state == queued && !req.hasStarted
}

// shedToAdmit makes room for a new request by rejecting the requests with the lowest value density. It
// returns false if the new request itself was rejected. Load shedding and read congestion reject one request;
// a shortage of memory rejects as many as needed.
func (inst *Instance) shedToAdmit(now time.Duration, newRequest RequestID) (isAdmitted bool) {
	neededKB := inst.memoryForAdmission(&inst.requests[newRequest])
	mustShed := inst.mustShed()
	for mustShed || !inst.memory.fits(neededKB) {
		candidates := append([]RequestID{newRequest}, inst.queue...)
		lowest := slices.MinFunc(candidates, inst.byValueDensity(now, newerRanksLower))
		inst.reject(now, lowest, inst.retryTargetAfterShedding(lowest))
		if lowest == newRequest {
			return false
		}
		mustShed = false
	}
	return true
}

// mustShed reports whether a request must be rejected in exchange for a new one: always during load shedding
// with a backlog, otherwise with a probability equal to the read congestion.
func (inst *Instance) mustShed() bool {
	if inst.isShedding && inst.backlog() > 0 {
		return true
	}
	return inst.random.next() < inst.readCongestion()
}

// memoryForAdmission returns the memory in kB that must be free to queue the request: its key entry, plus a
// reserve for all starts that the concurrency limit still allows. Without the reserve, queued requests could
// use up the memory needed to start any of them.
func (inst *Instance) memoryForAdmission(req *request) float64 {
	possibleStarts := max(int(inst.concurrency.limit)-inst.running, 1)
	return inst.keyEntryKB(req) + float64(possibleStarts)*inst.runMemoryKB(inst.memory.averageRequestKB)
}

// retryTargetAfterShedding advises against a retry at another server if the request is already a retry, or
// if so many requests are rejected that the other servers are probably overloaded too.
func (inst *Instance) retryTargetAfterShedding(id RequestID) retryTarget {
	if inst.requests[id].IsRetry || inst.rejectedShare > fleetOverloadRejectedShare {
		return retryOnSameServer
	}
	return retryOnAnyServer
}

// backlog returns the number of queued requests in excess of those that the concurrency limit allows to
// start now. It is negative if more could start than are queued.
func (inst *Instance) backlog() int {
	return len(inst.queue) - max(int(inst.concurrency.limit)-inst.running, 0)
}
