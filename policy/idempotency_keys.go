package policy

import (
	"slices"
	"time"
)

// minKeyEntryKB is the minimum size of a key entry. It is above 0 because keyEntryKB returns 0 for a class
// without keys.
const minKeyEntryKB = 0.001

// recordKey records the idempotency key of a request. It is called when the request is queued, before its
// start, so that retries of queued requests are recognized too.
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

// keyEntryKB returns the memory of the request's key entry in kB; 0 if its class has no keys.
func (inst *Instance) keyEntryKB(req *request) float64 {
	if inst.classes[req.Class].isIdempotent {
		return max(inst.server.KeyEntryKB.Or(0), minKeyEntryKB)
	}
	return 0
}

// removeKeyEntry subtracts the request's key entry from the used memory, unless it has expired.
func (inst *Instance) removeKeyEntry(req *request) {
	if req.keyExpiresAt != 0 && slices.Contains(inst.keyExpiries, req.keyExpiresAt) {
		inst.keyExpiries = removeValue(inst.keyExpiries, req.keyExpiresAt)
		inst.memory.usedKB -= inst.server.KeyEntryKB.Or(0)
	}
	req.keyExpiresAt = 0
}

// expireKeys subtracts the expired key entries from the used memory.
func (inst *Instance) expireKeys(now time.Duration) {
	before := len(inst.keyExpiries)
	inst.keyExpiries = removeExpired(inst.keyExpiries, now)
	inst.memory.usedKB -= float64(before-len(inst.keyExpiries)) * inst.server.KeyEntryKB.Or(0)
}
