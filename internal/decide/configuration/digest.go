package configuration

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// The shape of the Merkle tree: a state consists of groups, a group of buckets, a bucket of resources. It must be the same in
// all members, as peers compare the digests at equal indexes.
const (
	digestFanOut = 64                          // groups in a state, and buckets in a group
	bucketCount  = digestFanOut * digestFanOut // buckets in a state
)

// group is an inner node of the tree.
type group struct {
	buckets [digestFanOut]*bucket
	digest  uint64
}

// bucket is a leaf of the tree.
type bucket struct {
	entries []*Resource // in the order of compareKeys
	digest  uint64      // 0 if there are no entries
}

var (
	emptyBucket = &bucket{}
	emptyGroup  = newEmptyGroup()
)

func newEmptyGroup() *group {
	g := &group{}
	for n := range g.buckets {
		g.buckets[n] = emptyBucket
	}
	g.updateDigest()
	return g
}

// with returns a copy of the group with changes applied, and updates the totals of s. The changes are sorted and all belong to
// this group.
func (g *group) with(s *State, sorted []Change) *group {
	next := *g
	for len(sorted) > 0 {
		index := bucketIndex(sorted[0].Resource)
		end := prefixLength(sorted, func(c Change) bool { return bucketIndex(c.Resource) == index })
		before := next.buckets[index%digestFanOut]
		after := before.with(sorted[:end])
		next.buckets[index%digestFanOut] = after
		s.resourceCount += len(after.entries) - len(before.entries)
		s.bytes += after.sizeBytes() - before.sizeBytes()
		sorted = sorted[end:]
	}
	next.updateDigest()
	return &next
}

// with returns a copy of the bucket with changes applied, by merging two sorted lists. The changes are sorted and all belong to
// this bucket.
func (b *bucket) with(sorted []Change) *bucket {
	merged := make([]*Resource, 0, len(b.entries)+len(sorted))
	entries := b.entries
	for _, c := range sorted {
		for len(entries) > 0 && compareKeys(entries[0], c.Resource) < 0 {
			merged, entries = append(merged, entries[0]), entries[1:]
		}
		if len(entries) > 0 && compareKeys(entries[0], c.Resource) == 0 {
			entries = entries[1:]
		}
		if !c.Removed {
			merged = append(merged, c.Resource)
		}
	}
	next := &bucket{entries: append(merged, entries...)}
	next.updateDigest()
	return next
}

func (b *bucket) sizeBytes() (size int) {
	for _, r := range b.entries {
		size += r.sizeBytes()
	}
	return size
}

func (b *bucket) updateDigest() {
	if len(b.entries) == 0 {
		b.digest = 0
		return
	}
	digests := make([]byte, 0, 256)
	for _, r := range b.entries {
		digests = binary.LittleEndian.AppendUint64(digests, r.digest)
	}
	b.digest = xxhash.Sum64(digests)
}

func (g *group) updateDigest() {
	var digests [8 * digestFanOut]byte
	for n, b := range g.buckets {
		binary.LittleEndian.PutUint64(digests[8*n:], b.digest)
	}
	g.digest = xxhash.Sum64(digests[:])
}

func bucketIndex(r *Resource) int { return int(r.keyHash % bucketCount) }

// compareKeys orders resources by bucket, then by key hash, then by type and name.
func compareKeys(a, b *Resource) int {
	if order := cmp.Compare(bucketIndex(a), bucketIndex(b)); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(a.keyHash, b.keyHash), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
}

// shortDigest truncates a digest to the 32 bits that requests and replies carry. A difference that a collision of these hides
// is detected by the 64-bit root digest.
func shortDigest(digest uint64) uint32 { return uint32(digest) }

func (g *group) shortDigests() (digests [digestFanOut]uint32) {
	for n, b := range g.buckets {
		digests[n] = shortDigest(b.digest)
	}
	return digests
}

func (s *State) shortDigests() (digests [digestFanOut]uint32) {
	for n, g := range s.groups {
		digests[n] = shortDigest(g.digest)
	}
	return digests
}

func (b *bucket) shortDigests() (digests []uint32) {
	for _, r := range b.entries {
		digests = append(digests, shortDigest(r.digest))
	}
	return digests
}
