// Package configuration decides how versioned resources (tenants, routes, classes) are distributed to every member of a
// fleet. A replicated log orders the commands that create versions; Store applies them. A State is an immutable set of
// resources with a Merkle tree of digests. Each ControlNode serves the newest state to the top of a distribution tree of
// members (DistributionTree). Each Member polls its source, applies the deltas it receives, repairs larger differences by
// comparing digests, and relays the state to the members below it.
//
// The package performs no I/O, reads no clock and starts no goroutine: time is passed in as a duration since the start, and
// randomness comes from a seeded generator. Its types are not safe for concurrent use, except that resources and states are
// immutable and may be shared.
//
// All memory is bounded. A State holds at most MaxResources resources and MaxStateBytes bytes. The history of deltas holds at
// most MaxHistoryDeltas deltas and MaxHistoryBytes bytes and drops the oldest first. A relay serves at most MaxChildren
// members and a control node MaxControlChildren; silent ones are dropped. A Member keeps its list of sources and at most one
// repair in progress. Nothing is queued for sending: a message that exceeds the byte budget is dropped, and the next poll or
// tick starts again from the state at that time.
package configuration

import (
	"cmp"
	"time"
)

// Limits on what is stored and sent. Sizes are in bytes.
const (
	MaxResources     = 1 << 17   // resources in a state
	MaxStateBytes    = 24 << 20  // names and bodies in a state
	MaxNameBytes     = 256       // a resource's name
	MaxBodyBytes     = 4096      // a resource's body
	MaxChanges       = 1024      // changes in one version
	MaxChangeBytes   = 24 << 10  // names and bodies in the changes of one version
	MaxHistoryDeltas = 4096      // deltas in the history
	MaxHistoryBytes  = 1 << 20   // names and bodies in the deltas of the history
	MaxMessageBytes  = 512 << 10 // one encoded message
)

// Version orders states and resources: first by the fencing token of the lease holder that created it, then by a counter that
// every new version increments by one, also when the lease holder changes. The zero value precedes all others.
type Version struct{ Token, Counter uint64 }

// Compare returns a negative number if v is older than other, 0 if they are equal and a positive number if v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Token, other.Token), cmp.Compare(v.Counter, other.Counter))
}

// Host carries out what a Member or ControlNode decides.
type Host interface {
	// Send passes a message to the transport, which may lose, delay, duplicate or reorder it.
	Send(to string, m Message)
	// Activated reports that the state s has atomically replaced the previous one.
	Activated(now time.Duration, s *State)
}
