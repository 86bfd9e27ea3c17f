package policy

import (
	"slices"
	"time"
)

// minKeyEntryKB stands for an entry of no declared size, so that a class with keys is distinguished from
// one without.
const minKeyEntryKB = 0.001

// recordKey enters the idempotency key before the start, so that a retry of a queued request is known too.
func (inst *Instance) recordKey(now time.Duration, id RequestID) {
	req := &inst.requests[id]
	lifetime := req.arrivedAt + inst.classes[req.Class].keyWindow + 2*answerMargin - now
	if inst.keyEntryKB(req) == 0 || lifetime <= 0 {
		return
	}
	inst.removeKeyEntry(req)
	req.keyExpiresAt = now + lifetime
	inst.keyExpiries = append(inst.keyExpiries, req.keyExpiresAt)
	inst.memory.usedKB += inst.server.KeyEntryKB.Or(0)
	inst.host.RecordKey(id, lifetime)
}

// keyEntryKB is the memory that the request's key entry needs; 0 where its class has no keys.
func (inst *Instance) keyEntryKB(req *request) float64 {
	if inst.classes[req.Class].isIdempotent {
		return max(inst.server.KeyEntryKB.Or(0), minKeyEntryKB)
	}
	return 0
}

// removeKeyEntry takes the request's entry out of the account of memory, where it has one that has not
// expired.
func (inst *Instance) removeKeyEntry(req *request) {
	if req.keyExpiresAt != 0 && slices.Contains(inst.keyExpiries, req.keyExpiresAt) {
		inst.keyExpiries = without(inst.keyExpiries, req.keyExpiresAt)
		inst.memory.usedKB -= inst.server.KeyEntryKB.Or(0)
	}
	req.keyExpiresAt = 0
}

// expireKeys takes the entries whose time is over out of the account of memory.
func (inst *Instance) expireKeys(now time.Duration) {
	before := len(inst.keyExpiries)
	inst.keyExpiries = withoutExpired(inst.keyExpiries, now)
	inst.memory.usedKB -= float64(before-len(inst.keyExpiries)) * inst.server.KeyEntryKB.Or(0)
}
