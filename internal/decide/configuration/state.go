package configuration

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State holds all resources at one version, as an immutable Merkle tree. States share the groups and buckets that they have in
// common, so that an additional state takes memory only for the differences.
type State struct {
	version       Version
	groups        [digestFanOut]*group
	root          uint64
	resourceCount int
	bytes         int
}

// Empty returns the state before the first version, which has no resources.
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

// Root returns the root digest, which covers all resources and the version. Equal states have equal roots.
func (s *State) Root() uint64 { return s.root }

// Len returns the number of resources.
func (s *State) Len() int { return s.resourceCount }

// Bytes returns the total size of the resources' names and bodies.
func (s *State) Bytes() int { return s.bytes }

// Get returns the resource with a type and name, or nil if there is none.
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

// With returns a copy of s at version v, with changes applied; s is not modified. Removing a resource that does not exist has
// no effect. It returns a *RejectionError if a resource is changed twice or the new state exceeds its limits.
func (s *State) With(v Version, changes []Change) (*State, error) {
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, func(a, b Change) int { return compareKeys(a.Resource, b.Resource) })
	for n := 1; n < len(sorted); n++ {
		if compareKeys(sorted[n-1].Resource, sorted[n].Resource) == 0 {
			return nil, reject(ReasonMalformed, "resource %q is changed more than once in one version, expected once", sorted[n].Resource.Name)
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

// setVersion sets the version of a state and computes its root digest. The state must not be shared yet.
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

// prefixLength returns the number of leading changes for which isSame holds.
func prefixLength(sorted []Change, isSame func(Change) bool) int {
	if end := slices.IndexFunc(sorted, func(c Change) bool { return !isSame(c) }); end >= 0 {
		return end
	}
	return len(sorted)
}
