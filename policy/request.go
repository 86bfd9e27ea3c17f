package policy

import "time"

// requestState is the state of a request between Admit and Release.
type requestState uint8

const (
	untracked    requestState = iota // not admitted, or released
	queued                           // waits to be started
	running                          // on the cores or waiting for a disk
	awaitingCall                     // waits for its call to be issued
	calling                          // its call is in flight
	coalesced                        // waits for the result of the request that it retries
)

// request is the state of a request until its release.
type request struct {
	Request
	state           requestState
	arrivedAt       time.Duration // when it arrived at this machine, before it was read
	deadline        time.Duration // when its caller gives up or the server stops
	usefulUntil     time.Duration // latest time of an answer that meets the latency objective
	startedAt       time.Duration
	queueDelay      time.Duration // from arrival to start
	callTime        time.Duration // duration of finished calls, including the wait until they were issued
	callRequestedAt time.Duration // when the run last requested a call
	keyExpiresAt    time.Duration // when its key entry expires; 0: no entry
	isAnswered      bool
	hasStarted      bool
	isOverQuota     bool // its tenant was over its quota at admission
}

// isExecuting reports whether the request was started and has not ended: it is running or waits for a call.
func (r *request) isExecuting() bool {
	return r.state == running || r.state == awaitingCall || r.state == calling
}

// track adds a request that has been read to the request table, which grows to the largest id so far.
func (inst *Instance) track(now time.Duration, id RequestID, arrived Request) *request {
	missing := max(int(id)+1-len(inst.requests), 0)
	inst.requests = append(inst.requests, make([]request, missing)...)
	tracked := &inst.requests[id]
	*tracked = request{Request: arrived, state: queued, arrivedAt: now - arrived.ReadDelay}
	inst.memory.usedKB += arrived.MemoryKB
	inst.period.read++
	inst.period.countCaller(arrived.Caller)
	if arrived.IsRetry {
		inst.period.retries++
	}
	return tracked
}

// release removes a request from all tables. The key entry of a started request remains until it expires.
func (inst *Instance) release(id RequestID) {
	req := &inst.requests[id]
	if req.keyExpiresAt != 0 && !req.hasStarted {
		inst.host.ForgetKey(id)
		inst.removeKeyEntry(req)
	}
	inst.queue = removeValue(inst.queue, id)
	inst.calls.waiting = removeValue(inst.calls.waiting, id)
	inst.memory.usedKB -= req.MemoryKB
	if req.state != queued && req.state != coalesced {
		inst.memory.usedKB -= inst.runMemoryKB(req.MemoryKB)
	}
	req.state = untracked
	inst.host.Release(id)
}
