package node

import (
	"hash/maphash"
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// keyEntry is an entry of the idempotency key table. It stays until it expires, also after its request was released.
type keyEntry struct {
	owner      policy.RequestID // the attempt that runs; policy.OriginalGone once that is released
	class      int
	expiresAt  time.Duration
	window     time.Duration // from which expiresAt follows
	completed  bool          // the run has ended, or will never start
	succeeded  bool
	bodyDigest uint64 // all attempts of one request carry the same body
	result     []byte
	waiters    []policy.RequestID // coalesced requests that wait for the result
}

// keyTable is the idempotency keys of requests in flight and of completed ones whose results are cached.
type keyTable struct {
	entries    map[string]*keyEntry
	bytes      int          // taken by the entries and their results; bounded by Instance.tableBytes
	digestSeed maphash.Seed // of bodyDigest
}

func newKeyTable() keyTable {
	return keyTable{entries: map[string]*keyEntry{}, digestSeed: maphash.MakeSeed()}
}

// keyOf returns the request's key in the table; empty: none.
func (n *Instance) keyOf(class int, incoming Request) string {
	if n.idempotencyOf(class) == settings.Idempotent && incoming.Key != "" {
		return incoming.Class + " " + incoming.Key
	}
	return ""
}

// findOriginal returns the earlier attempt that the request repeats, as the controller takes it. A conflict is a key that
// belongs to a request with another body, whose result it must not get.
func (n *Instance) findOriginal(request *requestState, incoming Request, arrivedAt time.Duration) (original policy.RequestID, conflict bool) {
	idempotency := n.idempotencyOf(request.class)
	entry := n.keys.entries[request.key]
	sameBody := func() bool { return entry != nil && entry.bodyDigest == n.digest(incoming.Body) }
	if request.key != "" && entry != nil && (arrivedAt <= entry.expiresAt || !entry.completed) {
		if idempotency == settings.Idempotent && !sameBody() {
			return policy.NoOriginal, true
		}
		return entry.owner, false
	}
	ranElsewhere := incoming.MayHaveRunElsewhere && idempotency != settings.Safe
	if !ranElsewhere && !n.mayHaveRunEarlier(request.class, incoming, arrivedAt) {
		return policy.NoOriginal, false
	}
	request.cause = MayHaveRun
	if !sameBody() { // an expired entry with the same body still holds this request's own result
		request.key = ""
	}
	return policy.OriginalGone, false
}

// mayHaveRunEarlier tells whether a retry may repeat a request of an earlier incarnation of this instance.
func (n *Instance) mayHaveRunEarlier(class int, incoming Request, arrivedAt time.Duration) bool {
	return n.idempotencyOf(class) == settings.Idempotent && incoming.IsRetry && n.runtimeStatus.servesEarlierIncarnation &&
		arrivedAt < n.runtimeStatus.firstReadyAt+n.keyWindowOf(class)
}

func (n *Instance) digest(body []byte) uint64 { return maphash.Bytes(n.keys.digestSeed, body) }

// RecordKey enters the request's idempotency key, or makes the request the key's owner.
func (n *Instance) RecordKey(id policy.RequestID, lifetime time.Duration) {
	request := &n.requests[id]
	if request.key == "" {
		return
	}
	entry := n.keys.entries[request.key]
	if entry == nil || entry.completed { // the result of an expired window must not answer the next window's requests
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

// Coalesce answers the request with the result of the one that owns its key, now or once that ends.
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

// sharedResult is what a request that coalesced on the completed entry gets.
func (e *keyEntry) sharedResult() RunResult {
	if !e.succeeded {
		return RunResult{Outcome: policy.Failed}
	}
	return RunResult{Outcome: policy.OK, Body: e.result}
}

// completeKey passes the end of the owner's run to all that coalesced on it, and caches the result if there is capacity;
// else later attempts fail.
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
	if n.keys.bytes+len(result.Body) <= n.tableBytes {
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

// sweepKeys drops expired keys that nobody needs any more.
func (n *Instance) sweepKeys() {
	for key, entry := range n.keys.entries {
		if n.now > entry.expiresAt+keyLinger && entry.owner < 0 && len(entry.waiters) == 0 {
			n.dropKey(key)
		}
	}
}

// extendKeys applies windows that have become longer to the keys in the table. A window that became shorter holds for
// later keys only, so that a key lasts as long as the longest of its windows.
func (n *Instance) extendKeys() {
	for _, entry := range n.keys.entries {
		if window := n.keyWindowOf(entry.class); window > entry.window {
			entry.expiresAt += window - entry.window
			entry.window = window
		}
	}
}
