package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/policy"
)

// drainState is the progress of the graceful shutdown.
type drainState struct {
	started          bool
	deadline         time.Duration // the stop deadline, when the process is killed
	graceEnd         time.Duration // end of the grace period, in which new requests are served
	listenerClosedAt time.Duration // 0 while the instance still listens
}

// Drain starts the graceful shutdown at the next tick; the stop deadline is one stop timeout after that. Later calls have no
// effect.
func (n *Instance) Drain() {
	n.enqueue(func() {
		if n.drain.started {
			return
		}
		n.drain.started = true
		n.drain.deadline = n.now + n.stopTimeout
		n.drain.graceEnd = n.now
		n.lastArrivalAt = n.now // requests may be in transit at the drain notice
		if n.controller != nil {
			n.drain.graceEnd += n.serverSettings.DrainGrace.Seconds(0)
			n.controller.Drain(n.now, n.stopTimeout)
		}
		n.failHealthChecks(anyHealthCheck)
		for _, front := range n.fronts {
			front.Drain()
		}
	})
}

// advancePhase moves the graceful shutdown forward and returns its phase:
//   - The listener closes listenerCloseMargin before the stop deadline, or earlier, once the grace period is over, no request
//     has arrived for quietInterval and nothing is pending.
//   - The connections close more than listenerCloseLinger after the listener, once nothing is pending.
//   - Everything still pending is answered lastAnswerMargin before the deadline, and the loop stops exitMargin before it.
func (n *Instance) advancePhase() loop.Phase {
	switch {
	case !n.drain.started:
		return loop.PhaseServing
	case n.now >= n.drain.deadline-exitMargin:
		n.answerRemaining()
		return loop.PhaseStopped
	case n.now >= n.drain.deadline-lastAnswerMargin: // leaves time to close the connections after the last answers
		n.answerRemaining()
		return loop.PhaseClosingConns
	case n.drain.listenerClosedAt == 0:
		if n.keepsListening() {
			return loop.PhaseServing
		}
		n.drain.listenerClosedAt = n.now
	case n.now-n.drain.listenerClosedAt > listenerCloseLinger && !n.hasPendingWork():
		return loop.PhaseClosingConns
	}
	return loop.PhaseClosingListener
}

// keepsListening reports whether a draining instance has to accept connections for some more time.
func (n *Instance) keepsListening() bool {
	if n.now >= n.drain.deadline-listenerCloseMargin {
		return false
	}
	isQuiet := n.now >= n.drain.graceEnd && n.now-n.lastArrivalAt > quietInterval
	return !isQuiet || n.hasPendingWork()
}

// awaitsAnswer reports whether a caller waits for the request's answer.
func (r *requestState) awaitsAnswer() bool { return r.inFlight && !r.answered && r.responder != nil }

// hasPendingWork reports whether a draining instance has to wait: for unanswered requests and health checks, for queued events
// or for answers that a front has not delivered. The event loop itself waits for unsent output.
func (n *Instance) hasPendingWork() bool {
	if len(n.events) > 0 || len(n.completions) > 0 || len(n.health.checks) > 0 {
		return true
	}
	return slices.ContainsFunc(n.requests, func(r requestState) bool { return r.awaitsAnswer() }) ||
		slices.ContainsFunc(n.fronts, Front.HasPending)
}

// answerRemaining answers all open requests and health checks: requests that never ran are rejected, the others fail.
func (n *Instance) answerRemaining() {
	rejected := n.answerAll(Answer{Status: Rejected, RetryAfter: n.retryAfter()}, func(r *requestState) bool {
		return !r.started && r.coalescedOn == nil
	})
	failed := n.answerAll(Answer{Status: Failed}, func(*requestState) bool { return true })
	n.failHealthChecks(anyHealthCheck)
	if rejected+failed > 0 {
		n.log.Warn("requests answered at the stop deadline", zap.Int("rejected", rejected), zap.Int("failed", failed))
	}
}

// answerAll gives the answer to all matching requests that await one, and returns their number.
func (n *Instance) answerAll(answer Answer, matches func(*requestState) bool) (count int) {
	for index := range n.requests {
		request := &n.requests[index]
		if request.awaitsAnswer() && matches(request) {
			n.respond(policy.RequestID(index), answer)
			count++
		}
	}
	return count
}
