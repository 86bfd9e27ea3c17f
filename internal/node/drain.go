// This file owns the drain, from the notice to the end. It must never let the process end while something is owed and
// the kill is not near.

package node

import (
	"slices"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/policy"
)

// Drain is the notice that this instance will be killed after its stop time. A second one changes nothing.
func (n *Instance) Drain() {
	n.put(func() {
		if n.draining {
			return
		}
		n.draining = true
		n.killAt, n.graceEnd, n.lastRead = n.now+n.stop, n.now, n.now // what crosses the notice is on its way
		if n.mod != nil {
			n.graceEnd += n.server.DrainGrace.Seconds(0)
			n.mod.Drain(n.now, n.stop)
		}
		n.endChecks(func(check) bool { return true }) // nothing is healthy here any more
		for _, f := range n.fronts {
			f.Drain()
		}
	})
}

// phase: a draining instance stops listening once its grace is over, nothing comes and nothing is owed, or the kill is
// near; it ends when what crossed that is answered. What is owed a little before the kill is answered then.
func (n *Instance) phase() loop.Phase {
	owes := n.owes()
	switch {
	case !n.draining:
		return loop.PhaseServing
	case n.now >= n.killAt-lastBreath:
		n.answerRest()
		return loop.PhaseStopped
	case n.now >= n.killAt-lastCall: // the connections still end as all do, behind the last answers
		n.answerRest()
		return loop.PhaseClosingConns
	case n.closedAt == 0:
		if n.now < n.killAt-closeBefore && (n.now < n.graceEnd || n.now-n.lastRead <= quietBefore || owes) {
			return loop.PhaseServing
		}
		n.closedAt = n.now
	case n.now-n.closedAt > closeFor && !owes:
		return loop.PhaseClosingConns
	}
	return loop.PhaseClosingListener
}

// owed tells whether somebody waits for this request's answer.
func (it *item) owed() bool { return it.live && !it.answered && it.asker != nil }

// owes is what stands between a draining instance and its end: requests and checks without an answer, what came or was
// brought about and is not handed on yet, and what a front has not delivered. What the sockets owe loop knows.
func (n *Instance) owes() bool {
	return len(n.inbox) > 0 || len(n.later) > 0 || len(n.checks) > 0 ||
		slices.ContainsFunc(n.items, func(it item) bool { return it.owed() }) || slices.ContainsFunc(n.fronts, Front.HasPending)
}

// answerRest answers all that is owed when the kill is near: what never ran is refused first, the rest failed.
func (n *Instance) answerRest() {
	refused, failed := 0, 0
	for index := range n.items {
		w := policy.RequestID(index)
		if it := &n.items[w]; it.owed() && !it.started && it.waitsFor == nil {
			n.answer(w, Answer{Status: Rejected, RetryAfter: n.pause()})
			refused++
		}
	}
	for index := range n.items {
		w := policy.RequestID(index)
		if n.items[w].owed() {
			n.answer(w, Answer{Status: Failed})
			failed++
		}
	}
	n.endChecks(func(check) bool { return true })
	if refused+failed > 0 {
		n.log.Warn("answered at the kill", zap.Int("refused", refused), zap.Int("failed", failed))
	}
}
