// This file owns the messages between a member and the one above it. They are immutable once made.

package configuration

import "time"

// Message is one of Hello, Head, Delta, Sums, Groups, Buckets, Fill, Refer.
type Message interface {
	encode(w *writer)
}

// Hello is a member's poll of the one above it: what it has in force.
type Hello struct {
	Version Version
	Root    uint64
}

// At says where the sender of an answer stands: its version and root, and how long ago the agreed log confirmed it.
type At struct {
	Version Version
	Root    uint64
	Age     time.Duration // sent in ms
}

// Head answers a Hello. Repair says that no delta leads from the version in the Hello: compare digests.
type Head struct {
	At
	Repair bool
}

// Delta leads from one version to that of At, whole.
type Delta struct {
	At
	From    Version
	Changes []Change
}

// Sums asks which groups differ: the sender's digests, cut to 32 bits each, of all groups.
type Sums struct{ Groups [fan]uint32 }

// Groups answers Sums with the digests of the buckets in each group that differs.
type Groups struct {
	At
	Groups []GroupSums
}

// GroupSums is one group's buckets.
type GroupSums struct {
	Group   uint8
	Buckets [fan]uint32
}

// Buckets asks for what is missing in some buckets: what the sender has in each.
type Buckets struct{ Buckets []BucketSums }

// BucketSums is one bucket: the digests of its resources, cut to 32 bits.
type BucketSums struct {
	Bucket  uint16
	Digests []uint32
}

// Fill answers Buckets, for as many of them from the first on as fit.
type Fill struct {
	At
	Buckets []BucketFill
}

// BucketFill turns one bucket into the sender's: Drop are digests to take out, Add resources to put in.
type BucketFill struct {
	Bucket uint16
	Drop   []uint32
	Add    []*Resource
}

// Refer says that this is too much for the sender, or its table full: ask a control machine.
type Refer struct{}
