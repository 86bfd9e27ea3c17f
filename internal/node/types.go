// This file owns the words between the instance and its sides: asks, answers, what a runtime, what lies below, a front
// and the reports do. It must never hold state.

package node

import (
	"time"

	"thymechute/policy/settings"
)

// Request is a request as a protocol hands it in.
type Request struct {
	ID, Class, Tenant, Key, Subject string
	ReceivedAt                      time.Time     // to this machine
	CallerTimeout                   time.Duration // what its caller still waits from then on; 0: not told
	Caller                          int
	Retry                           bool
	MayHaveRunElsewhere             bool // an earlier try may have run where nothing of it is known here
	MemoryKB, Priority              float64
	Body                            []byte
}

// Status is what became of a request.
type Status int

// The final answers.
const (
	Served Status = iota
	Rejected
	Failed
)

// Cause is the cause of an answer where the instance itself, not the module, knows it.
type Cause int

// The causes.
const (
	CauseUnknown Cause = iota
	KeyConflict        // another request stands under the same key
	MayHaveRun         // an earlier try may have run, and nothing of it is known here
)

// Answer is final.
type Answer struct {
	Status           Status
	Cause            Cause
	Result           []byte
	RetryAfter       time.Duration
	NoRetryElsewhere bool    // no other server helps
	Advertised       float64 // the free value; negative: none
}

// Responder takes answers for what came on one connection, by the tags it gave.
type Responder interface {
	Answer(tag string, a Answer)
	HealthChecked(tag string, good bool, free float64)
}

// Runtime does the work; commands given while it is not Up are given again by the node once it is.
type Runtime interface {
	Up() bool
	Start(rid, class string, body []byte)
	Stop(rid string)
	DeliverReply(rid string, reply []byte)
	RequestGauges()
	SelfTest(tag string)
}

// Dependency takes the calls.
type Dependency interface {
	Call(rid string, patience time.Duration, body []byte)
	Abandon(rid string)
	Sweep(now time.Time) time.Time // ends what is over its time; when to come again
}

// Front is what a protocol's connections are told. Several stand behind one admission.
type Front interface {
	SetIdleTimeout(after time.Duration)
	Drain()
	Sweep(now time.Time)
	HasPending() bool // answers that are given and not yet delivered; a draining instance waits for them, up to the kill
}

// Load is how much of the instance is taken, for a front that may leave work where it is.
type Load struct {
	Ready              bool // the module is at work and the runtime's link stands
	Requests, Capacity int  // requests here, and how many may be
}

// HealthReporter go to the catalog.
type HealthReporter interface {
	Sweep(now time.Time, good bool)
}

// Idempotency of a class by its name, by the settings in force; empty: no such class, or it is not said.
func (n *Instance) Idempotency(class string) settings.Idempotency {
	if index, ok := n.classes.find(class); ok {
		return n.kind(index)
	}
	return ""
}

// Load tells how much is taken now.
func (n *Instance) Load() Load {
	return Load{n.mod != nil && n.runtime.Up(), n.live, n.room / itemBytes}
}
