// Package owner decides who acts for the fleet: each duty has one holder at a time, with a lease and a token that only
// grows. All of it is one state machine (Table) over an agreed log, the driver that each member runs over its copy of
// that log (Holder), and what every member asks before it acts on a decision (Guard). It owns these decisions and must
// never do I/O, read a clock, start a goroutine or draw chance: raft, the emulator and the exhaustive walk drive the
// same methods.
//
// No time stands in the log. A claim names the entry that last renewed the duty, and is refused once that is no longer
// the last; who claims has watched that entry go unrenewed for a whole lease by its own clock, counted from when it
// applied it. The holder counts its lease from before it proposed the same entry. So as long as no clock runs faster or
// slower than Drift allows, the holder has stopped by itself before anybody claims. A clock that stops (a suspended
// machine, SIGSTOP between a check and its act) breaks that; the token is for then: the table refuses a command with an
// older one, and so does every Guard.
//
// Tables: a Table holds the duties it was made with, at most MostDuties; a Holder one state a duty and at most one
// proposal in flight a duty; a Guard one mark a duty. Nothing grows.
package lease

import "time"

// MaxDuties bounds the duties of a fleet.
const MaxDuties = 16

// Kind of a command.
type Kind uint8

// The commands that a log of duties carries.
const (
	Acquire  Kind = iota // become the holder, if Seen is still the entry that last renewed the duty
	Renew                // the holder goes on
	Release              // the holder gives it up: whoever claims next need not wait
	Decide               // a decision of the holder, for all members to act on
	Announce             // a member's own word under a duty: no token, no holder, and it changes nothing of the duty
)

// Command is one entry of the log, before it has an index. Member and Life name one process: under the same name a
// restarted one has another Life, so what it said before it died is not taken for its own. Seq is its proposer's count.
type Command struct {
	Kind          Kind
	Duty          string
	Member        string
	Incarnation   uint64 `json:"Life"`
	Seq           uint64
	Token         uint64 // Renew, Release, Do: the token under which it acts
	ObservedIndex uint64 `json:"Seen"` // Claim: index of the entry that last renewed the duty; 0: none ever did
	Body          string // Do, Note: in the duty's own words
}

// Config is its length and what clocks may do to it; both the same in all members.
type Config struct {
	Duration     time.Duration // 1 ms and more
	MaxDrift     float64       // part by which a clock may run fast or slow, 0 to 0.5
	SafetyMargin time.Duration // before its end at which the holder stops issuing commands
}

// holds is how long a holder may act, counted from before it proposed the renewal, by its own clock.
func (l Config) holds() time.Duration {
	return time.Duration(float64(l.Duration)*(1-l.MaxDrift)) - l.SafetyMargin
}

// waits is how long another must have seen no renewal, counted from when it applied the last, by its own clock.
func (l Config) waits() time.Duration { return time.Duration(float64(l.Duration) * (1 + l.MaxDrift)) }
