// Package invariant checks the events of a test run against the four rules for instances (see Rule). It works with any front end;
// events must be reported in the order in which they happened, and those that are not reported are not checked. A work item has an
// identifier from its caller (a message ID, an idempotency key); an attempt is the receipt of a work item by one instance.
package invariant

import (
	"fmt"
	"time"
)

// Idempotency tells whether a work item may run again.
type Idempotency string

// The kinds of work items. An Idempotent item has an idempotency key, by which an instance must detect repeats within the key
// window.
const (
	Safe          Idempotency = "safe"
	Idempotent    Idempotency = "idempotent"
	NonIdempotent Idempotency = "non-idempotent"
)

// Outcome is how an attempt ended.
type Outcome string

// The final answers, and CallerGone for an attempt without an answer, as its caller was known to be gone.
const (
	Succeeded  Outcome = "succeeded"
	Rejected   Outcome = "rejected"
	Failed     Outcome = "failed"
	CallerGone Outcome = "caller gone"
)

// Execution tells whether an item that arrived was run.
type Execution bool

// Whether an item was run.
const (
	Skipped  Execution = false
	Executed Execution = true
)

// StopCause is why an instance stopped.
type StopCause int

// The causes of a stop. An instance must answer all its attempts before a shutdown, but not before a kill.
const (
	Shutdown StopCause = iota
	Killed
)

// Rule is the number of a rule, as it appears in reports.
type Rule int

// The rules.
const (
	AnsweredOnce      Rule = 1 + iota // every attempt is answered exactly once by its deadline, unless its caller is gone
	NoDuplicateEffect                 // no item runs again where its idempotency forbids it, or is rejected after it has run
	DrainsCompletely                  // a draining instance answers all attempts and runs nothing that arrives after its grace period
	MemoryBounded                     // an instance stays within its memory limit
)

// Violation is a violation of a rule by a work item (for MemoryBounded, by an instance).
type Violation struct {
	Rule         Rule
	Item, Detail string
}

func (v Violation) String() string { return fmt.Sprintf("rule %d: %s: %s", v.Rule, v.Item, v.Detail) }

// Attempt is the receipt of a work item by an instance. Times are since the start of the run.
type Attempt struct {
	ID          string // unique in the run
	Item        string
	Instance    string
	Idempotency Idempotency
	Deadline    time.Duration
}
