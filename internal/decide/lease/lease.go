// Package lease elects one holder at a time for each duty of a fleet, by leases with fencing tokens over a replicated
// log. A duty is a task that one member runs for all, such as planning a rollout. Table is the state machine that every
// replica applies to the log, Elector is one member's part in the election, and Fence is the check that every member
// makes before it acts on a decision outside the log.
//
// The package does no I/O, reads no clock, starts no goroutine and draws no random numbers: raft, the emulator and the
// exhaustive search of the tests drive the same methods.
//
// The log holds no timestamps. A claim is a compare-and-set: it names the entry that last renewed the lease, and is
// rejected once another renewal follows. A claimant has seen that entry go unrenewed for a whole lease by its own clock,
// counted from when it applied the entry, while the holder counts its lease from before it proposed the same entry. As
// long as no clock's rate is off by more than Config.MaxDrift, the holder has stopped before anybody claims. A clock that
// stops (a suspended machine, a process stopped between its check and its act) breaks that assumption; fencing tokens
// cover it: Table and every Fence reject a command under an older token.
//
// Bounds: a Table holds the duties it was made with, at most MaxDuties. An Elector holds one state and at most one
// pending proposal per duty, a Fence one watermark per duty. Nothing else is kept.
//
// No type is safe for concurrent use.
package lease

import "time"

// MaxDuties bounds the duties of a fleet.
const MaxDuties = 16

// Kind is the type of a command.
type Kind uint8

// The kinds of commands. Their numbers are encoded in the log.
const (
	Acquire  Kind = iota // claims the lease, if ObservedIndex still is the entry that last renewed it
	Renew                // extends the holder's lease
	Release              // ends the holder's lease, so that the next claimant need not wait for its expiry
	Decide               // carries a decision of the holder, for all members to act on
	Announce             // carries a member's own message about a duty: needs no token, and leaves the lease unchanged
)

// Command is an entry of the log before it has an index. Member and Incarnation identify one process: a restarted member
// has the same name and another incarnation, so it does not take its predecessor's commands for its own.
type Command struct {
	Kind          Kind   `json:"Kind"`
	Duty          string `json:"Duty"`
	Member        string `json:"Member"`
	Incarnation   uint64 `json:"Life"`
	Seq           uint64 `json:"Seq"`   // counts the proposals of one process
	Token         uint64 `json:"Token"` // fencing token of Renew, Release and Decide
	ObservedIndex uint64 `json:"Seen"`  // of Acquire: the entry that last renewed the lease; 0 if none did
	Body          string `json:"Body"`  // of Decide and Announce, in the duty's own encoding
}

// Config is the duration of a lease and the clock error that it tolerates. It must be the same in all members.
type Config struct {
	Duration     time.Duration // at least 1 ms
	MaxDrift     float64       // largest relative error of a clock's rate, 0 to 0.5
	SafetyMargin time.Duration // how long before the end of its lease a holder stops
}

// holderTimeout is how long a holder may act by its own clock, counted from before it proposed the renewal.
func (c Config) holderTimeout() time.Duration {
	return time.Duration(float64(c.Duration)*(1-c.MaxDrift)) - c.SafetyMargin
}

// claimTimeout is how long a claimant must have seen no renewal by its own clock, counted from when it applied the last.
func (c Config) claimTimeout() time.Duration {
	return time.Duration(float64(c.Duration) * (1 + c.MaxDrift))
}
