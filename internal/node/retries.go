package node

import (
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// retryOutcome says how a request is admitted that may be a further try of an earlier one.
type retryOutcome int

const (
	// retryNone means that the request can't have run: it may be rejected.
	retryNone retryOutcome = iota
	// retryKnown means that the request may have run. The controller answers it, and it needs no room in the tables.
	retryKnown
	// retryAnswered means that the request is answered at once.
	retryAnswered
)

// decideRetry decides about a request that may have run before, without asking for room in the tables. What may have run is never
// rejected, however full they are: its caller would take that for a proof that it did not run, and run it at another server.
func (n *Instance) decideRetry(class int, key string, incoming Request) (retryOutcome, Answer) {
	arrivedAt := n.now - readDelay(incoming)
	if n.hasRun(class, key, incoming.ID) {
		return retryAnswered, Answer{Status: Failed, Cause: CauseMayHaveRun}
	}
	if !n.mayHaveRun(class, key, incoming, arrivedAt) {
		return retryNone, Answer{}
	}
	entry := n.keys.entries[key]
	isRunning := entry != nil && !entry.completed
	if isRunning && len(entry.waiters) >= maxWaitersPerKey {
		return retryAnswered, Answer{Status: Failed, Cause: CauseMayHaveRun}
	}
	hasRoom := n.controller != nil && !n.isFull(class, key)
	hasRoomToWait := isRunning && n.inFlight*requestBytes < n.maxTableBytes+n.maxTableBytes/waiterMemoryDivisor
	if hasRoom || hasRoomToWait {
		return retryKnown, Answer{}
	}
	return retryAnswered, n.answerFromEntry(entry, incoming, arrivedAt)
}

// answerFromEntry answers a request that may have run from the key entry of its original, which is nil if there is none.
func (n *Instance) answerFromEntry(entry *keyEntry, incoming Request, arrivedAt time.Duration) Answer {
	hasSameBody := entry != nil && entry.bodyDigest == n.digest(incoming.Body)
	switch {
	case hasSameBody && entry.completed && entry.succeeded:
		return Answer{Status: Served, Result: entry.result}
	case entry != nil && !hasSameBody && entry.isInForce(arrivedAt):
		return Answer{Status: Failed, Cause: CauseKeyConflict}
	}
	return Answer{Status: Failed, Cause: CauseMayHaveRun}
}

// mayHaveRun reports whether the request is a further try of one that may have run: here, by its key, at another instance, or at
// an earlier incarnation of this one.
func (n *Instance) mayHaveRun(class int, key string, incoming Request, arrivedAt time.Duration) bool {
	if n.idempotencyOf(class) == settings.Safe {
		return false
	}
	if entry := n.keys.entries[key]; entry != nil && entry.isInForce(arrivedAt) {
		return entry.completed || !n.isQueued(entry.owner)
	}
	return incoming.MayHaveRunElsewhere || n.mayHaveRunInEarlierIncarnation(class, incoming, arrivedAt)
}

// isQueued reports whether the request is in flight and its run was not started.
func (n *Instance) isQueued(id policy.RequestID) bool {
	return id >= 0 && n.requests[id].inFlight && !n.requests[id].started
}

// readDelay returns how long the request waited on this machine before it was read.
func readDelay(incoming Request) time.Duration {
	return min(max(time.Since(incoming.ReceivedAt), 0), maxReadDelay)
}
