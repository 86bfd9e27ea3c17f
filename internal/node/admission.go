package node

import (
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// Admit accepts a decoded request. The responder gets the answer under the message id, at once or during a later tick. If the
// request is invalid, Admit returns an *AdmissionError and no answer follows.
func (n *Instance) Admit(responder Responder, id MessageID, incoming Request) error {
	n.lastArrivalAt = n.now
	class, ok := n.classes.findActive(incoming.Class)
	if !ok {
		return &AdmissionError{Reason: ErrUnknownClass, Value: incoming.Class}
	}
	tenant, ok := n.findTenant(incoming.Tenant)
	if !ok {
		return &AdmissionError{Reason: ErrUnknownTenant, Value: incoming.Tenant}
	}
	if _, ok := n.byTaskID[incoming.ID]; ok {
		return &AdmissionError{Reason: ErrDuplicateID, Value: string(incoming.ID)}
	}
	key := n.keyOf(class, incoming)
	retry, answer := n.decideRetry(class, key, incoming)
	if retry == retryAnswered {
		answer.AdvertisedLoad = n.advertisedLoad
		responder.Answer(id, answer)
		return nil
	}
	if retry == retryNone && !n.isAdmissible(class, key, incoming) {
		responder.Answer(id, Answer{Status: Rejected, RetryAfter: n.retryAfter(), AdvertisedLoad: n.advertisedLoad})
		return nil
	}
	requestID := n.allocate()
	n.requests[requestID] = requestState{
		inFlight:  true,
		responder: responder,
		messageID: id,
		taskID:    incoming.ID,
		class:     class,
		tenant:    tenant,
		body:      incoming.Body,
		key:       key,
	}
	n.byTaskID[incoming.ID] = requestID
	n.addReferences(class, tenant)
	n.inFlight++
	n.enqueue(func() { n.submit(requestID, incoming) })
	return nil
}

// isAdmissible reports whether a request that has not run may be passed to the controller.
func (n *Instance) isAdmissible(class int, key string, incoming Request) bool {
	isAfterGrace := n.drain.started && !incoming.LastPartAt.IsZero() && incoming.LastPartAt.Sub(n.start) > n.drain.graceEnd
	return n.controller != nil && !isAfterGrace && !n.isFull(class, key)
}

// HasClass reports whether requests of this class are admitted.
func (n *Instance) HasClass(class string) bool {
	_, ok := n.classes.findActive(class)
	return ok
}

// findTenant returns the index of the tenant in force under the name, or noTenant for the empty name.
func (n *Instance) findTenant(name string) (tenant int, ok bool) {
	tenant, ok = n.tenants.findActive(name)
	if !ok && name == "" {
		return noTenant, true
	}
	return tenant, ok
}

// isFull reports whether the table of requests or that of keys has no capacity for a request of this class and key.
func (n *Instance) isFull(class int, key string) bool {
	if n.inFlight*requestBytes >= n.maxTableBytes {
		return true
	}
	needsKeyEntry := n.idempotencyOf(class) == settings.Idempotent && n.keys.entries[key] == nil
	return needsKeyEntry && n.keys.bytes >= n.maxTableBytes
}

// allocate returns a free slot of the table of requests.
func (n *Instance) allocate() policy.RequestID {
	if last := len(n.freeIDs) - 1; last >= 0 {
		id := n.freeIDs[last]
		n.freeIDs = n.freeIDs[:last]
		return id
	}
	n.requests = append(n.requests, requestState{})
	return policy.RequestID(len(n.requests) - 1)
}

// retryAfter returns the Retry-After of requests that the instance rejects without the controller; 0 means none.
func (n *Instance) retryAfter() time.Duration {
	if n.serverSettings.RetryAfter.Off() {
		return 0
	}
	return min(tableFullRetryAfter, n.serverSettings.MaxRetryAfter.Seconds(0))
}

// submit passes an admitted request to the controller. It fails the request if another one owns its idempotency key.
func (n *Instance) submit(id policy.RequestID, incoming Request) {
	request := &n.requests[id]
	policyRequest := policy.Request{
		Class:     request.class,
		Tenant:    request.tenant,
		Caller:    incoming.Caller,
		IsRetry:   incoming.IsRetry,
		Priority:  incoming.Priority,
		MemoryKB:  incoming.MemoryKB,
		ReadDelay: readDelay(incoming),
	}
	if incoming.CallerTimeout > 0 {
		// At least 1 ns, as 0 means unknown: the controller rejects a request whose caller has timed out.
		policyRequest.CallerTimeout = max(incoming.CallerTimeout-policyRequest.ReadDelay, 1)
	}
	original, isConflict := n.findOriginal(request, incoming, n.now-policyRequest.ReadDelay)
	if isConflict {
		request.failureCause = CauseKeyConflict
		n.respond(id, Answer{Status: Failed})
		n.Release(id)
		return
	}
	policyRequest.Original = original
	n.controller.Admit(n.now, id, policyRequest)
}

// CallerGone marks all requests of this responder as abandoned by their caller: they are not answered any more.
func (n *Instance) CallerGone(responder Responder) {
	for index := range n.requests {
		id := policy.RequestID(index)
		request := &n.requests[id]
		if !request.inFlight || request.responder != responder {
			continue
		}
		request.responder = nil
		taskID := request.taskID
		n.enqueue(func() {
			if n.isCurrent(taskID, id) && !n.requests[id].answered {
				n.controller.CallerGone(n.now, id)
			}
		})
	}
}

// isCurrent reports whether the slot still belongs to the request with this task id, as slots are reused.
func (n *Instance) isCurrent(taskID TaskID, id policy.RequestID) bool {
	current, ok := n.byTaskID[taskID]
	return ok && current == id
}
