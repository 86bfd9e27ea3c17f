package node

import (
	"fmt"
	"testing"

	"thymechute/policy"
)

// fullTables are the ways in which the instance may have no room for a request.
var fullTables = map[string]func(n *Instance){
	"requests": func(n *Instance) { n.maxTableBytes = n.inFlight * requestBytes },
	"keys":     func(n *Instance) { n.keys.bytes = n.maxTableBytes },
	"both": func(n *Instance) {
		n.maxTableBytes = n.inFlight * requestBytes
		n.keys.bytes = n.maxTableBytes
	},
}

// Guards against review cases 1 and 3: a request that may have run was rejected because a table was full, and run again by another
// instance or as a copy without the mark of a redelivery.
func TestRequestThatMayHaveRunIsNeverRejected(t *testing.T) {
	for table, fill := range fullTables {
		t.Run(table, func(t *testing.T) {
			n, rec := newReadyInstance(nil)
			n.admitRequest(rec, "done", "keyed", "done", 0)
			n.RunEnded("done", RunResult{Outcome: policy.OK, Body: []byte("result")})
			n.Tick()
			n.admitRequest(rec, "running", "keyed", "running", 0)
			for busy := range 4 {
				n.admitRequest(rec, TaskID(fmt.Sprintf("busy%d", busy)), "safe", "", 0)
			}
			fill(n)
			n.admitRequest(rec, "retry", "keyed", "done", 0)
			rec.expect(t, 1, "answer retry 0 result")
			n.admitRedelivered(rec, "other-body", "keyed", "done", "y")
			rec.expect(t, 1, "answer other-body 2")
			n.admitRedelivered(rec, "unknown", "keyed", "unknown", "x")
			rec.expect(t, 1, "answer unknown 2")
			n.admitRedelivered(rec, "once", "unsafe", "", "x")
			rec.expect(t, 1, "answer once 2")
			n.admitRequest(rec, "waits", "keyed", "running", 0)
			rec.expect(t, 0, "answer waits")
			n.RunEnded("running", RunResult{Outcome: policy.OK, Body: []byte("late")})
			n.Tick()
			rec.expect(t, 1, "answer waits 0 late")
			rec.expect(t, 1, "start running")
			rec.expect(t, 0, "start retry")
			n.admitRequest(rec, "new", "keyed", "new", 0) // may be rejected, as it has not run
			rec.expect(t, 0, "answer new 2")
		})
	}
}

// Requests that wait for a result are bounded: for one run, and all of them together. Those over a bound fail and are not rejected.
func TestWaitingRequestsAreBounded(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "running", "keyed", "key", 0)
	for number := range maxWaitersPerKey + 2 {
		n.admitRequest(rec, TaskID(fmt.Sprintf("w%02d", number)), "keyed", "key", 0)
	}
	rec.expect(t, 2, "answer w")
	rec.expect(t, 1, fmt.Sprintf("answer w%02d 2", maxWaitersPerKey))

	n, rec = newReadyInstance(nil)
	n.admitRequest(rec, "running", "keyed", "key", 0)
	for busy := range 3 {
		n.admitRequest(rec, TaskID(fmt.Sprintf("busy%d", busy)), "safe", "", 0)
	}
	n.maxTableBytes = n.inFlight * requestBytes
	n.admitRequest(rec, "first", "keyed", "key", 0)
	rec.expect(t, 0, "answer first")
	n.admitRequest(rec, "second", "keyed", "key", 0)
	rec.expect(t, 1, "answer second 2")
}

// A retry of a request that waits in the queue may be rejected: neither has run.
func TestRetryOfQueuedRequestMayBeRejected(t *testing.T) {
	n, rec := newReadyInstance(nil)
	for number := range 40 {
		n.admitRequest(rec, TaskID(fmt.Sprintf("q%02d", number)), "keyed", fmt.Sprintf("key%02d", number), 0)
	}
	rec.expect(t, 0, "start q39")
	n.maxTableBytes = 0
	n.admitRequest(rec, "retry", "keyed", "key39", 0)
	rec.expect(t, 1, "answer retry 1")
}

// Before the runtime is ready nothing is known here, but a request that may have run elsewhere must not be rejected.
func TestRedeliveredRequestBeforeTheRuntimeIsReady(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.controller = nil
	n.admitRedelivered(rec, "a", "keyed", "key", "x")
	rec.expect(t, 1, "answer a 2")
	n.admitRequest(rec, "b", "keyed", "key", 0)
	rec.expect(t, 1, "answer b 1")
}
