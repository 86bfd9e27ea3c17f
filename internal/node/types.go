// This file owns the words between the instance and its sides: asks, answers, what a runtime, what lies below, a front
// and the reports do. It must never hold state.

package node

import (
	"time"

	"thymechute/policy/settings"
)

// Ask is a request as a protocol hands it in.
type Ask struct {
	Rid, Class, Tenant, Key, Subject string
	Came                             time.Time     // to this machine
	CallerTimeout                    time.Duration // what its caller still waits from then on; 0: not told
	From                             int
	Again                            bool
	Elsewhere                        bool // an earlier try may have run where nothing of it is known here
	KB, Rank                         float64
	Body                             []byte
}

// Kind is what became of a request.
type Kind int

// The final answers.
const (
	Served Kind = iota
	Rejected
	Failed
)

// Why is the cause of an answer where the instance itself, not the module, knows it.
type Why int

// The causes.
const (
	Unsaid     Why = iota
	Conflict       // another request stands under the same key
	MayHaveRun     // an earlier try may have run, and nothing of it is known here
)

// Answer is final.
type Answer struct {
	Kind       Kind
	Why        Why
	Result     []byte
	RetryAfter time.Duration
	Final      bool    // no other server helps
	Hint       float64 // the free value; negative: none
}

// Asker takes answers for what came on one connection, by the tags it gave.
type Asker interface {
	Answer(tag string, a Answer)
	Checked(tag string, good bool, free float64)
}

// Runtime does the work; commands given while it is not Up are given again by the node once it is.
type Runtime interface {
	Up() bool
	Start(rid, class string, body []byte)
	Stop(rid string)
	Give(rid string, reply []byte)
	Gauges()
	SelfTest(tag string)
}

// Below takes the calls.
type Below interface {
	Call(rid string, patience time.Duration, body []byte)
	GiveUp(rid string)
	Sweep(now time.Time) time.Time // ends what is over its time; when to come again
}

// Front is what a protocol's connections are told. Several stand behind one admission.
type Front interface {
	Idle(after time.Duration)
	Drain()
	Sweep(now time.Time)
	Owes() bool // answers that are given and not yet delivered; a draining instance waits for them, up to the kill
}

// Load is how much of the instance is taken, for a front that may leave work where it is.
type Load struct {
	Up          bool // the module is at work and the runtime's link stands
	Items, Room int  // requests here, and how many may be
}

// Reports go to the catalog.
type Reports interface {
	Sweep(now time.Time, good bool)
}

// Kind of a class by its name, by the settings in force; empty: no such class, or it is not said.
func (n *Instance) Kind(class string) settings.Kind {
	if index, ok := n.classes.find(class); ok {
		return n.kind(index)
	}
	return ""
}

// Load tells how much is taken now.
func (n *Instance) Load() Load {
	return Load{n.mod != nil && n.runtime.Up(), n.live, n.room / itemBytes}
}
