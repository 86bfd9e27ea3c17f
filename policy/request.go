package policy

import "time"

// requestState is where a request stands between Admit and Release.
type requestState uint8

const (
	untracked    requestState = iota // not admitted, or released
	queued                           // waits for a start
	running                          // on the cores, or at its disk
	awaitingCall                     // waits for its call to be issued
	calling                          // its call is in flight
	coalesced                        // waits for the result of the request it repeats
)

// request is what the module keeps of a request until its release.
type request struct {
	Request
	state           requestState
	arrivedAt       time.Duration // at this machine, before it was read
	deadline        time.Duration // it must be answered before: then its caller gives up or the server stops
	usefulUntil     time.Duration // an answer after this misses the latency objective
	startedAt       time.Duration
	queueDelay      time.Duration // from arrival to start
	callTime        time.Duration // spent on finished calls, with the wait for them
	callRequestedAt time.Duration
	keyExpiresAt    time.Duration // end of its key entry; 0: it has none
	isAnswered      bool
	hasStarted      bool
	isOverQuota     bool // of its tenant
}

// isExecuting reports whether the request has been started and not ended: on the cores or at a call.
func (r *request) isExecuting() bool {
	return r.state == running || r.state == awaitingCall || r.state == calling
}

// track makes the record of a request that has been read. The table is as long as the largest id so far.
func (inst *Instance) track(now time.Duration, id RequestID, arrived Request) *request {
	missing := max(int(id)+1-len(inst.requests), 0)
	inst.requests = append(inst.requests, make([]request, missing)...)
	tracked := &inst.requests[id]
	*tracked = request{Request: arrived, state: queued, arrivedAt: now - arrived.ReadDelay}
	inst.memory.usedKB += arrived.MemoryKB
	inst.period.read++
	inst.period.callers[arrived.Caller] = true
	if arrived.Retry {
		inst.period.retries++
	}
	return tracked
}

// release takes a request out of all tables. The key entry of one that has started stays for its whole
// window.
func (inst *Instance) release(id RequestID) {
	req := &inst.requests[id]
	if req.keyExpiresAt != 0 && !req.hasStarted {
		inst.host.ForgetKey(id)
		inst.removeKeyEntry(req)
	}
	inst.queue = without(inst.queue, id)
	inst.calls.waiting = without(inst.calls.waiting, id)
	inst.memory.usedKB -= req.MemoryKB
	if req.state != queued && req.state != coalesced {
		inst.memory.usedKB -= inst.runMemoryKB(req.MemoryKB)
	}
	req.state = untracked
	inst.host.Release(id)
}
