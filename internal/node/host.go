package node

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// respond gives the request's final answer to its caller, unless it was answered already.
func (n *Instance) respond(id policy.RequestID, answer Answer) {
	request := &n.requests[id]
	if request.answered {
		return
	}
	request.answered = true
	if request.responder == nil {
		return
	}
	answer.AdvertisedLoad = n.advertisedLoad
	if answer.Status == Failed {
		answer.Cause = request.failureCause
	}
	request.responder.Answer(request.messageID, answer)
}

// abandonCall abandons the call that the request has in flight, if any.
func (n *Instance) abandonCall(request *requestState) {
	if request.callInFlight {
		request.callInFlight = false
		n.dependency.Abandon(request.taskID)
	}
}

// Start starts the request's run at the runtime; while the link is down, the command waits until it is up again.
func (n *Instance) Start(id policy.RequestID) {
	request := &n.requests[id]
	request.started = true
	if n.runtime.Up() {
		n.sendStart(request)
	}
}

func (n *Instance) sendStart(request *requestState) {
	request.startSent = true
	if n.idempotencyOf(request.class) != settings.Safe {
		n.runIDs.Add(n.digest([]byte(request.taskID)))
	}
	n.runtime.Start(request.taskID, n.classes.at(request.class).Name, request.body)
}

// Stop stops the request's run at the runtime; while the link is down, the command waits until it is up again.
func (n *Instance) Stop(id policy.RequestID) {
	request := &n.requests[id]
	request.stopped = true
	if n.runtime.Up() {
		n.runtime.Stop(request.taskID)
	}
}

// Reject answers a request that has not run.
func (n *Instance) Reject(id policy.RequestID, rejection policy.Rejection) {
	n.respond(id, Answer{
		Status:           Rejected,
		RetryAfter:       rejection.RetryAfter,
		NoRetryElsewhere: rejection.NoRetryElsewhere,
	})
}

// Fail answers the request with an error and abandons its call in flight.
func (n *Instance) Fail(id policy.RequestID) {
	n.respond(id, Answer{Status: Failed})
	n.abandonCall(&n.requests[id])
}

// Call issues the dependency call that the request's run waits for.
func (n *Instance) Call(id policy.RequestID, timeout time.Duration) {
	request := &n.requests[id]
	request.callInFlight = true
	n.dependency.Call(request.taskID, timeout, request.callBody)
}

// SkipCall panics. The controller never calls it, as withoutDegradedAnswers removes the degraded weight from all classes.
func (n *Instance) SkipCall(policy.RequestID) {
	panic("node: the runtime's protocol has no command to continue a run without its call")
}

// SetHealth sets the verdict for health checks.
func (n *Instance) SetHealth(health policy.Health) {
	n.health.isHealthy = health.Healthy
	n.health.isCached = health.SkipSelfTest
}

// SetIdleTimeout sets the time after which the fronts close idle connections.
func (n *Instance) SetIdleTimeout(timeout time.Duration) {
	for _, front := range n.fronts {
		front.SetIdleTimeout(timeout)
	}
}

// Advertise sets the load value that all answers and health check results carry.
func (n *Instance) Advertise(value float64) { n.advertisedLoad = value }

// Wake sets the time of the controller's next tick.
func (n *Instance) Wake(at time.Duration) { n.nextControllerTick = at }

// Release removes a request to which the controller no longer refers. Its slot can be reused.
func (n *Instance) Release(id policy.RequestID) {
	request := &n.requests[id]
	n.releaseKey(id)
	if entry := request.coalescedOn; entry != nil {
		entry.waiters = slices.DeleteFunc(entry.waiters, func(waiter policy.RequestID) bool { return waiter == id })
	}
	n.abandonCall(request)
	delete(n.byTaskID, request.taskID)
	n.dropReferences(request.class, request.tenant)
	*request = requestState{}
	n.inFlight--
	n.freeIDs = append(n.freeIDs, id)
}

// releaseKey ends the request's ownership of its key. If its run never ended, requests that coalesced on it fail.
func (n *Instance) releaseKey(id policy.RequestID) {
	entry := n.keys.entries[n.requests[id].key]
	if entry == nil || entry.owner != id {
		return
	}
	entry.owner = policy.OriginalGone
	if !entry.completed {
		n.completeKey(entry, RunResult{Outcome: policy.Failed})
	}
}

// Log writes a log line of the controller.
func (n *Instance) Log(message string, fields ...zap.Field) { n.log.Info(message, fields...) }
