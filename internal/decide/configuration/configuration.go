// Package configuration decides how versioned resources (tenants, routes, classes) are distributed to every member of a
// fleet. A replicated log orders the commands that make versions (Store). A State is an immutable set of resources with a
// Merkle tree of digests. Control nodes (ControlNode) serve the newest state to a tree of members (DistributionTree); each Member polls
// its source, receives deltas, repairs larger differences by comparing digests, and relays to the members below it.
//
// The package performs no I/O, reads no clock and starts no goroutine: time is passed in as a duration since the start, and
// randomness comes from a seeded generator. Its types are not safe for concurrent use; resources and states are immutable and
// may be shared.
//
// Every table is bounded. A State holds at most MaxResources resources and MaxStateBytes bytes. The history of deltas holds
// MaxHistoryDeltas and MaxHistoryBytes and drops the oldest first. A relay serves MaxChildren members and a control node
// MaxControlChildren; silent ones are dropped. A Member keeps its list of sources and at most one repair in progress. Nothing
// is queued for sending: a message over the byte budget is dropped, and the next poll or tick starts again from the state of
// that moment.
package configuration

import (
	"cmp"
	"time"
)

// Limits on what is stored and sent. Sizes are in bytes.
const (
	MaxResources     = 1 << 17   // resources in a state
	MaxStateBytes    = 24 << 20  // names and bodies of a state
	MaxNameBytes     = 256       // a resource's name
	MaxBodyBytes     = 4096      // a resource's body
	MaxChanges       = 1024      // changes in one version
	MaxChangeBytes   = 24 << 10  // names and bodies of one version's changes
	MaxHistoryDeltas = 4096      // deltas in the history
	MaxHistoryBytes  = 1 << 20   // names and bodies of the history's deltas
	MaxMessageBytes  = 512 << 10 // one encoded message
)

// Version orders states and resources: first by the fencing token of the lease holder that made it, then by a counter that
// every new version raises by one, also across lease holders. The zero value precedes all others.
type Version struct{ Token, Counter uint64 }

// Compare is negative where v is older than other, 0 where they are equal and positive where v is newer.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Token, other.Token), cmp.Compare(v.Counter, other.Counter))
}

// Host is what a Member or ControlNode acts through.
type Host interface {
	// Send hands a message to the transport, which may lose, delay, duplicate or reorder it.
	Send(to string, m Message)
	// Activated reports that a state has replaced the previous one atomically.
	Activated(now time.Duration, s *State)
}
