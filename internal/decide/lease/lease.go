// Package lease elects one lease holder at a time for each duty of a fleet, using leases with fencing tokens over a
// replicated log. A duty is a task that one member runs for the whole fleet, such as planning a rollout. Table is the
// state machine to which every replica applies the log, Elector claims and renews leases for one member, and Fence is
// the check that every member makes before it acts on a decision outside the log.
//
// The package does no I/O, reads no clock, starts no goroutine and draws no random numbers, so raft, the emulator and the
// exhaustive search in the tests all drive the same methods.
//
// The log holds no timestamps. A claim is a compare-and-set: it names the entry that last renewed the lease, and is
// rejected if another renewal has followed. A member claims a lease after it has seen no renewal for a whole lease
// duration by its own clock, counted from when it applied the last one. The holder counts the same lease from before it
// proposed that entry, so it stops before any member claims, as long as no clock's rate is off by more than
// Config.MaxDrift. A clock that stops (a suspended machine, or a process paused between its check and its action) breaks
// that assumption. Fencing tokens cover this case: Table and every Fence reject commands under an older token.
//
// Memory is bounded: a Table holds the duties it was created with, at most MaxDuties. An Elector holds one state and at
// most one pending proposal per duty, a Fence one watermark per duty. Nothing else is kept.
//
// No type is safe for concurrent use.
package lease

import "time"

// MaxDuties is the maximum number of duties of a fleet.
const MaxDuties = 16

// Kind is the type of a command.
type Kind uint8

// The kinds of commands. Their numbers are encoded in the log.
const (
	Acquire  Kind = iota // claims the lease, if ObservedIndex is still the index of its last renewal
	Renew                // extends the holder's lease
	Release              // ends the holder's lease, so that it can be claimed before it expires
	Decide               // carries a decision of the holder for all members to act on
	Announce             // carries any member's message about a duty; needs no token and leaves the lease unchanged
)

// Command is the content of a log entry. Member and Incarnation identify the process that proposed it: a restarted member
// has the same name but another incarnation, so it does not mistake its previous process's commands for its own.
type Command struct {
	Kind          Kind   `json:"Kind"`
	Duty          string `json:"Duty"`
	Member        string `json:"Member"`
	Incarnation   uint64 `json:"Life"`
	Seq           uint64 `json:"Seq"`   // sequence number of the proposal within its process, from 1
	Token         uint64 `json:"Token"` // fencing token; used by Renew, Release and Decide
	ObservedIndex uint64 `json:"Seen"`  // used by Acquire: index of the lease's last renewal; 0 if it was never acquired
	Body          string `json:"Body"`  // used by Decide and Announce, in the duty's own encoding
}

// Config sets the duration of a lease and the clock error that it tolerates. It must be the same in all members.
type Config struct {
	Duration     time.Duration // at least 1 ms
	MaxDrift     float64       // largest relative error of a clock's rate; 0 to 0.5
	SafetyMargin time.Duration // how long before the end of its lease a holder stops acting
}

// holderTimeout is how long a holder may act by its own clock, counted from when it proposed the renewal.
func (c Config) holderTimeout() time.Duration {
	return time.Duration(float64(c.Duration)*(1-c.MaxDrift)) - c.SafetyMargin
}

// claimTimeout is how long a member must have seen no renewal before it claims, by its own clock and counted from when it
// applied the last renewal.
func (c Config) claimTimeout() time.Duration {
	return time.Duration(float64(c.Duration) * (1 + c.MaxDrift))
}
