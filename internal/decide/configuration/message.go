package configuration

import "time"

// Message is one of Poll, PollReply, Delta, DigestRequest, DigestReply, RepairRequest, RepairReply and Referral. Messages are
// immutable once made.
type Message interface {
	encode(e *encoder)
}

// Poll asks a source for what is newer than the sender's active state.
type Poll struct {
	Version Version
	Root    uint64
}

// Position is the sender's active version with its root digest, and how long ago the log confirmed it as the newest.
type Position struct {
	Version Version
	Root    uint64
	Age     time.Duration // encoded in milliseconds
}

// PollReply answers a Poll where no delta is sent. NeedsRepair tells that no delta leads from the poll's version to the
// sender's, so that the member has to compare digests.
type PollReply struct {
	Position
	NeedsRepair bool
}

// Delta is all changes from one version to the sender's Position.
type Delta struct {
	Position
	From    Version
	Changes []Change
}

// DigestRequest asks which buckets differ. Groups are the sender's group digests, truncated to 32 bits.
type DigestRequest struct{ Groups [digestFanOut]uint32 }

// DigestReply answers a DigestRequest with the bucket digests of each group that differs.
type DigestReply struct {
	Position
	Groups []GroupDigests
}

// GroupDigests are the bucket digests of one group, truncated to 32 bits.
type GroupDigests struct {
	Group   uint8
	Buckets [digestFanOut]uint32
}

// RepairRequest asks for the differences in some buckets, given what the sender has in each.
type RepairRequest struct{ Buckets []BucketDigests }

// BucketDigests are the digests of one bucket's resources, truncated to 32 bits.
type BucketDigests struct {
	Bucket  uint16
	Digests []uint32
}

// RepairReply answers a RepairRequest for as many of its first buckets as fit into one message.
type RepairReply struct {
	Position
	Buckets []BucketRepair
}

// BucketRepair turns a bucket of the requester into the sender's.
type BucketRepair struct {
	Bucket uint16
	Remove []uint32 // digests of resources to remove
	Add    []*Resource
}

// Referral tells a member to use a control node, as its request needs more than a relay may send or the sender's table of
// children is full.
type Referral struct{}
