package configuration

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is all resources at one version, as an immutable Merkle tree. States share the groups and buckets that they have in
// common, so that one more state costs only what differs.
type State struct {
	version       Version
	groups        [digestFanOut]*group
	root          uint64
	resourceCount int
	bytes         int
}

// Empty is the state before the first version.
func Empty() *State {
	s := &State{}
	for n := range s.groups {
		s.groups[n] = emptyGroup
	}
	s.setVersion(Version{})
	return s
}

// Version returns the state's version.
func (s *State) Version() Version { return s.version }

// Root is the digest of the whole state and its version: equal states have equal roots.
func (s *State) Root() uint64 { return s.root }

// Len is the number of resources.
func (s *State) Len() int { return s.resourceCount }

// Bytes is the total size of the resources' names and bodies.
func (s *State) Bytes() int { return s.bytes }

// Get returns the resource of a type and name, or nil.
func (s *State) Get(t ResourceType, name string) *Resource {
	key, err := NewResource(t, name, "", Version{})
	if err != nil {
		return nil
	}
	b := s.bucket(bucketIndex(key))
	if n, found := slices.BinarySearchFunc(b.entries, key, compareKeys); found {
		return b.entries[n]
	}
	return nil
}

// With returns the state after changes, at version v; s is not modified. Removing a resource that does not exist has no
// effect. Errors: a *RejectionError for a resource changed twice or a state over its limits.
func (s *State) With(v Version, changes []Change) (*State, error) {
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, func(a, b Change) int { return compareKeys(a.Resource, b.Resource) })
	for n := 1; n < len(sorted); n++ {
		if compareKeys(sorted[n-1].Resource, sorted[n].Resource) == 0 {
			return nil, reject(ReasonMalformed, "resource %q changed twice, expected once", sorted[n].Resource.Name)
		}
	}
	next := *s
	for len(sorted) > 0 {
		index := bucketIndex(sorted[0].Resource) / digestFanOut
		end := prefixLength(sorted, func(c Change) bool { return bucketIndex(c.Resource)/digestFanOut == index })
		next.groups[index] = next.groups[index].with(&next, sorted[:end])
		sorted = sorted[end:]
	}
	if next.resourceCount > MaxResources || next.bytes > MaxStateBytes {
		return nil, reject(ReasonLimitExceeded, "state of %d resources and %d bytes, expected at most %d and %d",
			next.resourceCount, next.bytes, MaxResources, MaxStateBytes)
	}
	next.setVersion(v)
	return &next, nil
}

// setVersion sets the version of a state that is not shared yet, and computes its root.
func (s *State) setVersion(v Version) {
	s.version = v
	var digests [8*digestFanOut + 16]byte
	for n, g := range s.groups {
		binary.LittleEndian.PutUint64(digests[8*n:], g.digest)
	}
	binary.LittleEndian.PutUint64(digests[8*digestFanOut:], v.Token)
	binary.LittleEndian.PutUint64(digests[8*digestFanOut+8:], v.Counter)
	s.root = xxhash.Sum64(digests[:])
}

func (s *State) bucket(index int) *bucket {
	return s.groups[index/digestFanOut].buckets[index%digestFanOut]
}

// prefixLength is how many changes from the first on are in the same place of the tree.
func prefixLength(sorted []Change, isSame func(Change) bool) int {
	if end := slices.IndexFunc(sorted, func(c Change) bool { return !isSame(c) }); end >= 0 {
		return end
	}
	return len(sorted)
}
