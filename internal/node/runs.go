package node

import (
	"time"

	"go.uber.org/zap"

	"thymechute/policy"
)

// runtimeProcess is what is known about the process of the runtime.
type runtimeProcess struct {
	startedAt                time.Time     // latest possible time of its start
	firstReadyAt             time.Duration // when the first link to it was established
	respondedAt              time.Duration // when it last sent its gauges, or when the first link was established
	isReused                 bool          // it had executed requests before the first link
	servesEarlierIncarnation bool          // it has sent a notice about a run of an earlier incarnation of this instance
}

// RuntimeReady is called with the runtime's state when a link to it is established. The first call creates the controller. A
// later call that shows a restart of the runtime ends all runs, as they are lost.
func (n *Instance) RuntimeReady(state RuntimeState) {
	latestStart := time.Now().Add(-state.Age)
	n.enqueue(func() {
		switch {
		case n.controller != nil:
			n.checkRestart(state, latestStart)
		case !n.drain.started: // a draining instance without a controller rejects all requests until it stops
			n.startController(state, latestStart)
		}
	})
}

func (n *Instance) startController(state RuntimeState, runtimeStart time.Time) {
	n.log.Info("runtime ready", zap.Bool("reused", state.Reused), zap.Duration("age", state.Age))
	n.start = runtimeStart // the controller's slow start counts from the runtime's start
	n.runtimeProcess.startedAt = runtimeStart
	n.runtimeProcess.isReused = state.Reused
	n.now = time.Since(n.start)
	n.runtimeProcess.firstReadyAt = n.now
	n.runtimeProcess.respondedAt = n.now
	n.lastEventAt = n.now
	n.controller = n.newController()
}

// checkRestart ends all runs if the runtime has restarted, that is, its start is later than the known one.
func (n *Instance) checkRestart(state RuntimeState, latestStart time.Time) {
	if !state.StartedAfter(n.runtimeProcess.startedAt) {
		return
	}
	n.log.Warn("runtime restarted, runs in progress are lost")
	n.runtimeProcess.startedAt = latestStart
	for index := range n.requests {
		request := &n.requests[index]
		if request.inFlight && request.startSent {
			n.endRun(policy.RequestID(index), RunResult{Outcome: policy.Cancelled})
		}
	}
}

// RuntimeResynced is called when a new link has delivered all missed notices. It repeats the commands that may not have reached
// the runtime: a second start or stop has no effect. A reply that was written to a link is not repeated, as the run may already
// wait for its next call.
func (n *Instance) RuntimeResynced() {
	n.enqueue(func() {
		for index := range n.requests {
			if n.requests[index].inFlight {
				n.repeatCommands(policy.RequestID(index))
			}
		}
	})
}

func (n *Instance) repeatCommands(id policy.RequestID) {
	request := &n.requests[id]
	if request.started && !request.startSent && request.answered {
		n.endRun(id, RunResult{Outcome: policy.NotStarted})
		return
	}
	if request.started && !request.startConfirmed {
		n.sendStart(request)
	}
	if request.stopped {
		n.runtime.Stop(request.taskID)
	}
	if request.pendingReply != nil {
		n.runtime.DeliverReply(request.taskID, request.pendingReply)
		request.pendingReply = nil
	}
}

// RunEnded is called when a run has ended.
func (n *Instance) RunEnded(taskID TaskID, result RunResult) {
	n.enqueue(func() {
		if id, ok := n.findRun(taskID); ok {
			n.endRun(id, result)
		}
	})
}

// findRun returns the started request with this task id. An unknown id from a reused runtime shows that the runtime still
// executes requests of an earlier incarnation of this instance.
func (n *Instance) findRun(taskID TaskID) (policy.RequestID, bool) {
	id, ok := n.byTaskID[taskID]
	if !ok && n.runtimeProcess.isReused {
		n.runIDs.Add(n.digest([]byte(taskID)))
	}
	if !ok && n.runtimeProcess.isReused && !n.runtimeProcess.servesEarlierIncarnation {
		n.runtimeProcess.servesEarlierIncarnation = true
		n.log.Warn("runtime still executes requests of an earlier incarnation, retries with unknown keys fail for one key window",
			zap.String("task", string(taskID)))
	}
	return id, ok && n.requests[id].started
}

// endRun answers the request, completes its idempotency key and notifies the controller.
func (n *Instance) endRun(id policy.RequestID, result RunResult) {
	request := &n.requests[id]
	n.abandonCall(request)
	switch result.Outcome {
	case policy.OK:
		n.respond(id, Answer{Status: Served, Result: result.Body})
	case policy.Cancelled: // the controller answers
	default:
		n.respond(id, Answer{Status: Failed})
	}
	if entry := n.keys.entries[request.key]; entry != nil && entry.owner == id {
		n.completeKey(entry, result)
	}
	n.controller.RunEnded(n.now, id, result.Outcome, result.Duration)
}

// CallRequested is called when a run makes a call to the dependency with this body and waits for the reply.
func (n *Instance) CallRequested(taskID TaskID, body []byte) {
	n.enqueue(func() {
		id, ok := n.findRun(taskID)
		if !ok {
			return
		}
		request := &n.requests[id]
		request.startConfirmed = true
		request.callBody = body
		request.pendingReply = nil
		n.controller.CallRequested(n.now, id)
	})
}

// CallReturned is called when a call to the dependency has ended.
func (n *Instance) CallReturned(taskID TaskID, result CallResult) {
	n.enqueue(func() {
		id, ok := n.byTaskID[taskID]
		if !ok || !n.requests[id].callInFlight {
			return
		}
		request := &n.requests[id]
		request.callInFlight = false
		if result.Outcome == policy.OK {
			n.deliverReply(request, result.Reply)
		}
		n.controller.CallReturned(n.now, id, result.Outcome, result.Duration)
	})
}

func (n *Instance) deliverReply(request *requestState, reply []byte) {
	if n.runtime.Up() {
		n.runtime.DeliverReply(request.taskID, reply)
	} else {
		request.pendingReply = reply
	}
}
