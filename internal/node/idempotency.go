package node

import (
	"hash/maphash"
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// keyEntry is an entry of the idempotency key table. It remains until it expires, even after its request was released.
type keyEntry struct {
	owner      policy.RequestID // attempt whose run gives the result; policy.OriginalGone once it is released
	class      int
	expiresAt  time.Duration
	window     time.Duration // key window of the class from which expiresAt was calculated
	completed  bool          // the run has ended, or will never start
	succeeded  bool
	bodyDigest uint64 // hash of the body; equal for all attempts of one request
	result     []byte
	waiters    []policy.RequestID // coalesced requests that wait for the result
}

// keyTable holds the idempotency keys of requests in flight, and of completed requests with their cached results.
type keyTable struct {
	entries    map[string]*keyEntry
	bytes      int          // size of the entries and their results; bounded by Instance.maxTableBytes
	digestSeed maphash.Seed // of bodyDigest
}

func newKeyTable() keyTable {
	return keyTable{entries: map[string]*keyEntry{}, digestSeed: maphash.MakeSeed()}
}

// keyOf returns the request's key in the table, which includes its class; empty if it has none.
func (n *Instance) keyOf(class int, incoming Request) string {
	if n.idempotencyOf(class) == settings.Idempotent && incoming.Key != "" {
		return incoming.Class + " " + incoming.Key
	}
	return ""
}

// hasRun reports whether a run was started for the id of a request that must not run twice, and no key entry has its result.
func (n *Instance) hasRun(class int, key string, id TaskID) bool {
	return n.idempotencyOf(class) != settings.Safe && n.keys.entries[key] == nil && n.runIDs.Contains(n.digest([]byte(id)))
}

// findOriginal returns the earlier attempt that the request retries, as a value of policy.Request.Original. isConflict reports
// that its key belongs to a request with another body, whose result this request must not get.
func (n *Instance) findOriginal(request *requestState, incoming Request, arrivedAt time.Duration) (
	original policy.RequestID, isConflict bool,
) {
	idempotency := n.idempotencyOf(request.class)
	entry := n.keys.entries[request.key] // nil for the empty key, which is never recorded
	hasSameBody := entry != nil && entry.bodyDigest == n.digest(incoming.Body)
	if entry != nil && entry.isInForce(arrivedAt) {
		if idempotency == settings.Idempotent && !hasSameBody {
			return policy.NoOriginal, true
		}
		return entry.owner, false
	}
	mayHaveRunElsewhere := incoming.MayHaveRunElsewhere && idempotency != settings.Safe
	if !mayHaveRunElsewhere && !n.mayHaveRunInEarlierIncarnation(request.class, incoming, arrivedAt) {
		return policy.NoOriginal, false
	}
	request.failureCause = CauseMayHaveRun
	if !hasSameBody { // an expired entry with the same body still has the result of this request
		request.key = ""
	}
	return policy.OriginalGone, false
}

// isInForce reports whether the entry applies to a request that arrived at this time: it has not expired, or its run has not
// ended.
func (e *keyEntry) isInForce(arrivedAt time.Duration) bool {
	return arrivedAt <= e.expiresAt || !e.completed
}

// mayHaveRunInEarlierIncarnation reports whether the request may retry one that an earlier incarnation of this instance ran.
// The keys of that are unknown, but they have expired one key window after this incarnation first reached the runtime.
func (n *Instance) mayHaveRunInEarlierIncarnation(class int, incoming Request, arrivedAt time.Duration) bool {
	if !incoming.IsRetry || n.idempotencyOf(class) != settings.Idempotent {
		return false
	}
	unknownKeysUntil := n.runtimeProcess.firstReadyAt + n.keyWindowOf(class)
	return n.runtimeProcess.servesEarlierIncarnation && arrivedAt < unknownKeysUntil
}

func (n *Instance) digest(body []byte) uint64 { return maphash.Bytes(n.keys.digestSeed, body) }

// RecordKey enters the request's idempotency key, or makes the request the key's owner.
func (n *Instance) RecordKey(id policy.RequestID, lifetime time.Duration) {
	request := &n.requests[id]
	if request.key == "" {
		return
	}
	entry := n.keys.entries[request.key]
	if entry == nil || entry.completed {
		// A completed entry has expired here, and its result must not answer requests of the next window.
		entry = n.replaceKey(request.key, request.class)
	}
	entry.owner = id
	entry.class = request.class
	entry.expiresAt = n.now + lifetime
	entry.window = n.keyWindowOf(request.class)
	entry.bodyDigest = n.digest(request.body)
}

// replaceKey drops the key's entry, if there is one, and returns a new one.
func (n *Instance) replaceKey(key string, class int) *keyEntry {
	n.dropKey(key)
	entry := &keyEntry{}
	n.keys.entries[key] = entry
	n.keys.bytes += keyEntryBytes
	n.addReferences(class, noTenant)
	return entry
}

// ForgetKey drops the request's idempotency key.
func (n *Instance) ForgetKey(id policy.RequestID) {
	key := n.requests[id].key
	if entry := n.keys.entries[key]; entry != nil && entry.owner == id {
		n.dropKey(key)
	}
}

// Coalesce answers the request with the result of the request that owns its key, once that has completed.
func (n *Instance) Coalesce(id policy.RequestID) {
	request := &n.requests[id]
	entry := n.keys.entries[request.key]
	switch {
	case entry == nil:
		n.completeCoalesced(id, RunResult{Outcome: policy.Failed})
	case entry.completed:
		n.completeCoalesced(id, entry.sharedResult())
	default:
		request.coalescedOn = entry
		entry.waiters = append(entry.waiters, id)
	}
}

// sharedResult returns the result of a request that coalesced on a completed entry.
func (e *keyEntry) sharedResult() RunResult {
	if !e.succeeded {
		return RunResult{Outcome: policy.Failed}
	}
	return RunResult{Outcome: policy.OK, Body: e.result}
}

// completeKey passes the end of the owner's run to the requests that coalesced on it and caches the result. If the table has no
// capacity for the result, later attempts fail.
func (n *Instance) completeKey(entry *keyEntry, result RunResult) {
	entry.completed = true
	succeeded := result.Outcome == policy.OK
	shared := RunResult{Outcome: policy.Failed}
	if succeeded {
		shared = RunResult{Outcome: policy.OK, Body: result.Body}
	}
	for _, waiter := range entry.waiters {
		n.completeCoalesced(waiter, shared)
	}
	entry.waiters = nil
	if n.keys.bytes+len(result.Body) <= n.maxTableBytes {
		entry.succeeded = succeeded
		entry.result = result.Body
		n.keys.bytes += len(result.Body)
	}
}

// completeCoalesced ends a coalesced request once the controller's current call has returned.
func (n *Instance) completeCoalesced(id policy.RequestID, result RunResult) {
	taskID := n.requests[id].taskID
	n.completions = append(n.completions, func() {
		if !n.isCurrent(taskID, id) {
			return
		}
		n.requests[id].coalescedOn = nil
		n.endRun(id, result)
	})
}

// dropKey removes a key from the table, if it is there.
func (n *Instance) dropKey(key string) {
	entry := n.keys.entries[key]
	if entry == nil {
		return
	}
	n.keys.bytes -= keyEntryBytes + len(entry.result)
	delete(n.keys.entries, key)
	n.dropReferences(entry.class, noTenant)
}

// sweepKeys drops keys that expired more than expiredKeyRetention ago and have no attempt in flight.
func (n *Instance) sweepKeys() {
	for key, entry := range n.keys.entries {
		if n.now > entry.expiresAt+expiredKeyRetention && entry.owner < 0 && len(entry.waiters) == 0 {
			n.dropKey(key)
		}
	}
}

// extendKeys applies key windows that have become longer to the keys in the table. A shorter window applies to later keys
// only, so that a key lasts for the longest window that was in force during its lifetime.
func (n *Instance) extendKeys() {
	for _, entry := range n.keys.entries {
		if window := n.keyWindowOf(entry.class); window > entry.window {
			entry.expiresAt += window - entry.window
			entry.window = window
		}
	}
}
