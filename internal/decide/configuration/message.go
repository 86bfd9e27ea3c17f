package configuration

import "time"

// Message is one of Poll, PollReply, Delta, DigestRequest, DigestReply, RepairRequest, RepairReply and Referral. Messages must
// not be modified once sent.
type Message interface {
	encode(e *encoder)
}

// Poll asks a source for changes newer than the sender's active state, whose version and root digest it carries.
type Poll struct {
	Version Version
	Root    uint64
}

// Position describes the sender's active state: its version, its root digest, and how long ago the log last confirmed it as
// the newest.
type Position struct {
	Version Version
	Root    uint64
	Age     time.Duration // encoded in milliseconds
}

// PollReply answers a Poll if no delta is sent. NeedsRepair tells that the sender has no delta from the poll's version to its
// own, so that the receiver must compare digests.
type PollReply struct {
	Position
	NeedsRepair bool
}

// Delta contains all changes from the version From to the sender's active version.
type Delta struct {
	Position
	From    Version
	Changes []Change
}

// DigestRequest asks which buckets differ. Groups holds the sender's group digests, truncated to 32 bits.
type DigestRequest struct{ Groups [digestFanOut]uint32 }

// DigestReply answers a DigestRequest with the bucket digests of each group that differs.
type DigestReply struct {
	Position
	Groups []GroupDigests
}

// GroupDigests holds the bucket digests of one group, truncated to 32 bits.
type GroupDigests struct {
	Group   uint8
	Buckets [digestFanOut]uint32
}

// RepairRequest asks for the differences in some buckets, given the digests of the resources that the sender has in each.
type RepairRequest struct{ Buckets []BucketDigests }

// BucketDigests holds the digests of one bucket's resources, truncated to 32 bits.
type BucketDigests struct {
	Bucket  uint16
	Digests []uint32
}

// RepairReply answers a RepairRequest for as many of its first buckets as the sender's limit for one message allows.
type RepairReply struct {
	Position
	Buckets []BucketRepair
}

// BucketRepair holds the changes that turn the requester's bucket into the sender's.
type BucketRepair struct {
	Bucket uint16
	Remove []uint32 // digests of resources to remove
	Add    []*Resource
}

// Referral tells a member to use a control node, because its request needs more than a relay may send, or because the sender
// has its maximum number of children.
type Referral struct{}
