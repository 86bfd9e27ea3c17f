// Package configuration decides how versioned resources (tenants, routes, classes) reach every member of a fleet: which
// command of the agreed log makes a version (Store), what a state and its digests are (State), who asks whom (Sources),
// what a relay or control machine answers and pushes (Server, Control) and what a member takes into force (Member). It
// owns these decisions and must never do I/O, read a clock, start a goroutine, draw chance but from a seeded generator,
// make a version outside the log, or put a part of a version in force.
//
// Tables: a State holds MostResources and MostStateBytes, emptied by changes that remove; a History MostHistory deltas and
// MostHistoryBytes, the oldest dropped; a Server MostChildren children at a relay and MostControlChildren at a control
// machine, each dropped once silent; a Member its sources (as many as the tree names, replaced by Place)
// and at most one repair, which ends by its commit, its last round or a change of source. There is no queue: a message
// that the pace doesn't allow isn't sent, and the next poll or tick asks again from the state as it is then.
package configuration

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The bounds of what is held and sent. Sizes are bytes.
const (
	MostResources    = 1 << 17   // resources in a state
	MostStateBytes   = 24 << 20  // names and bodies of a state
	MostName         = 256       // of a resource's name
	MostBody         = 4096      // of a resource's body
	MostChanges      = 1024      // changes in one version
	MostChangeBytes  = 24 << 10  // names and bodies of one version's changes
	MostHistory      = 4096      // deltas kept
	MostHistoryBytes = 1 << 20   // names and bodies of the deltas kept
	MostMessage      = 512 << 10 // of one encoded message
)

// Type of a resource.
type Type uint8

// The types that are known; any other is refused.
const (
	Tenant Type = 1 + iota
	Route
	Class
	types // one over the last
)

// Version orders states and resources: by the fencing token of the owner that made it, then by its counter, which every
// version raises by one, also across owners. The zero value is before all.
type Version struct{ Token, Counter uint64 }

// Compare is negative where v is older than o, 0 where they are the same, positive where it is newer.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Token, o.Token), cmp.Compare(v.Counter, o.Counter))
}

// Resource is one piece of configuration. It is immutable and shared between the states that hold it.
type Resource struct {
	Type    Type
	Name    string
	Body    string // in the type's own encoding; this package doesn't look into it
	Version Version
	digest  uint64 // of all the above
	place   uint64 // hash of type and name: its group and bucket
}

// NewResource makes one. Errors: a *Refusal for an unknown type, an empty or too long name, a body over its bound.
func NewResource(t Type, name, body string, v Version) (*Resource, error) {
	if t == 0 || t >= types {
		return nil, refuse(UnknownType, "type %d", t)
	}
	if name == "" || len(name) > MostName || len(body) > MostBody {
		return nil, refuse(OverBound, "name of %d bytes, body of %d", len(name), len(body))
	}
	var place xxhash.Digest
	place.Reset()
	_, _ = place.Write([]byte{byte(t)})
	_, _ = place.WriteString(name)
	r := &Resource{Type: t, Name: name, Body: body, Version: v, place: place.Sum64()}
	var head [24]byte
	binary.LittleEndian.PutUint64(head[:], r.place)
	binary.LittleEndian.PutUint64(head[8:], v.Token)
	binary.LittleEndian.PutUint64(head[16:], v.Counter)
	var whole xxhash.Digest
	whole.Reset()
	_, _ = whole.Write(head[:])
	_, _ = whole.WriteString(body)
	r.digest = whole.Sum64()
	return r, nil
}

func (r *Resource) size() int { return len(r.Name) + len(r.Body) }

// Change adds or replaces a resource, or removes the one of its type and name.
type Change struct {
	Resource *Resource
	Removed  bool
}

// Reason says why something was refused.
type Reason uint8

// The reasons. Nothing that is refused changes anything in force.
const (
	Stale       Reason = 1 + iota // an older token or version
	WrongBase                     // made on another version than the one in force
	WrongDigest                   // what it gives isn't what it says it gives
	OverBound                     // a size or count over its bound
	UnknownType                   // a resource type or message kind that isn't known
	Malformed                     // not our encoding
	NoQuorum                      // the agreed log is out of reach: no change is taken
	NotOwner                      // this control machine doesn't hold the duty
	InFlight                      // the change before is not agreed yet; try again
	Stranger                      // from one that isn't among this member's sources
	Missing                       // removes what isn't there, or changes nothing
)

var reasons = [...]string{Stale: "stale", WrongBase: "wrong base", WrongDigest: "wrong digest", OverBound: "over bound",
	UnknownType: "unknown type", Malformed: "malformed", NoQuorum: "no quorum", NotOwner: "not the owner",
	InFlight: "one in flight", Stranger: "stranger", Missing: "missing"}

func (r Reason) String() string { return reasons[r] }

// Refusal is the error of everything that is refused, whole.
type Refusal struct {
	Reason Reason
	Detail string // what was found, in one line
}

func (r *Refusal) Error() string { return fmt.Sprintf("configuration: %v: %s", r.Reason, r.Detail) }

func refuse(why Reason, format string, args ...any) error {
	return &Refusal{Reason: why, Detail: fmt.Sprintf(format, args...)}
}

// Host is what a Member or Control acts through.
type Host interface {
	// Send hands a message to the carrier. It may be lost, late, doubled or overtaken.
	Send(to string, m Message)
	// InForce says that a state has taken the place of the one before, whole.
	InForce(now time.Duration, s *State)
}
