package node

import (
	"slices"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/policy"
)

// Drain starts the graceful shutdown: the process will be killed once the stop timeout is over. Later calls have no effect.
func (n *Instance) Drain() {
	n.enqueue(func() {
		if n.draining {
			return
		}
		n.draining = true
		n.stopDeadline = n.now + n.stopTimeout
		n.graceEnd = n.now
		n.lastArrival = n.now // requests may be on their way at the notice
		if n.controller != nil {
			n.graceEnd += n.server.DrainGrace.Seconds(0)
			n.controller.Drain(n.now, n.stopTimeout)
		}
		n.failHealthChecks(anyHealthCheck)
		for _, front := range n.fronts {
			front.Drain()
		}
	})
}

// phase returns the phase of the graceful shutdown. The listener closes once the grace period is over, nothing arrives and
// nothing is pending, or shortly before the stop deadline. The connections end when the requests that crossed that are
// answered. Just before the deadline all that is pending is answered and the loop ends.
func (n *Instance) phase() loop.Phase {
	pending := n.hasPendingWork()
	switch {
	case !n.draining:
		return loop.PhaseServing
	case n.now >= n.stopDeadline-exitMargin:
		n.answerRemaining()
		return loop.PhaseStopped
	case n.now >= n.stopDeadline-lastAnswerMargin: // connections still close in order, behind the last answers
		n.answerRemaining()
		return loop.PhaseClosingConns
	case n.listenerClosedAt == 0:
		if n.keepsListening(pending) {
			return loop.PhaseServing
		}
		n.listenerClosedAt = n.now
	case n.now-n.listenerClosedAt > listenerCloseLinger && !pending:
		return loop.PhaseClosingConns
	}
	return loop.PhaseClosingListener
}

// keepsListening tells whether a draining instance still accepts connections.
func (n *Instance) keepsListening(pending bool) bool {
	if n.now >= n.stopDeadline-listenerCloseMargin {
		return false
	}
	return n.now < n.graceEnd || n.now-n.lastArrival <= quietInterval || pending
}

// awaitsAnswer tells whether a caller waits for the request's answer.
func (r *requestState) awaitsAnswer() bool { return r.inFlight && !r.answered && r.responder != nil }

// hasPendingWork tells whether anything keeps a draining instance from its end: requests and health checks without an
// answer, unhandled events, and answers that a front has not delivered. Unwritten output is the event loop's to wait for.
func (n *Instance) hasPendingWork() bool {
	if len(n.events) > 0 || len(n.completions) > 0 || len(n.healthChecks) > 0 {
		return true
	}
	return slices.ContainsFunc(n.requests, func(r requestState) bool { return r.awaitsAnswer() }) ||
		slices.ContainsFunc(n.fronts, Front.HasPending)
}

// answerRemaining answers all requests and health checks: requests that never ran are rejected, the others fail.
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
		if request := &n.requests[index]; request.awaitsAnswer() && matches(request) {
			n.respond(policy.RequestID(index), answer)
			count++
		}
	}
	return count
}
