// This file owns a state and its digests: an immutable tree of fixed shape, 64 groups of 64 buckets of resources, each
// level with the hash of the one under it. It must never change a state that was handed out.

package configuration

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The shape is the same in all members: two sides compare digests place by place.
const (
	fan     = 64
	buckets = fan * fan
)

// State is all resources at one version. States share what they have in common; one costs what differs.
type State struct {
	version Version
	groups  [fan]*group
	root    uint64
	count   int
	bytes   int
}

type group struct {
	buckets [fan]*bucket
	sum     uint64
}

type bucket struct {
	entries []*Resource // by place, then type and name
	sum     uint64
}

var (
	emptyBucket = &bucket{}
	emptyGroup  = func() *group {
		g := &group{}
		for n := range g.buckets {
			g.buckets[n] = emptyBucket
		}
		g.seal()
		return g
	}()
)

// Empty is the state before the first version.
func Empty() *State {
	s := &State{}
	for n := range s.groups {
		s.groups[n] = emptyGroup
	}
	s.seal(Version{})
	return s
}

// Version of the state.
func (s *State) Version() Version { return s.version }

// Root is the digest of the whole state with its version: alike in two states that are alike.
func (s *State) Root() uint64 { return s.root }

// Len is how many resources it holds, Bytes what their names and bodies take.
func (s *State) Len() int { return s.count }

// Bytes of names and bodies.
func (s *State) Bytes() int { return s.bytes }

// Get is the resource of a type and name, nil where there is none.
func (s *State) Get(t Type, name string) *Resource {
	key, err := NewResource(t, name, "", Version{})
	if err != nil {
		return nil
	}
	b := s.bucket(bucketOf(key))
	if n, found := slices.BinarySearchFunc(b.entries, key, compareKeys); found {
		return b.entries[n]
	}
	return nil
}

// All calls f with each resource until it returns false.
func (s *State) All(f func(*Resource) bool) {
	for _, g := range s.groups {
		for _, b := range g.buckets {
			for _, r := range b.entries {
				if !f(r) {
					return
				}
			}
		}
	}
}

// With is the state after changes, at version v; s stays as it is. Errors: a *Refusal for a resource changed twice or
// a state over its bounds. To remove what isn't there changes nothing.
func (s *State) With(v Version, changes []Change) (*State, error) {
	sorted := slices.Clone(changes)
	slices.SortFunc(sorted, func(a, b Change) int { return compareKeys(a.Resource, b.Resource) })
	for n := 1; n < len(sorted); n++ {
		if compareKeys(sorted[n-1].Resource, sorted[n].Resource) == 0 {
			return nil, refuse(Malformed, "%q changed twice", sorted[n].Resource.Name)
		}
	}
	next := *s
	for len(sorted) > 0 {
		n := bucketOf(sorted[0].Resource) / fan
		end := runOf(sorted, func(c Change) bool { return bucketOf(c.Resource)/fan == n })
		next.groups[n] = next.groups[n].with(&next, sorted[:end])
		sorted = sorted[end:]
	}
	if next.count > MostResources || next.bytes > MostStateBytes {
		return nil, refuse(OverBound, "%d resources, %d bytes", next.count, next.bytes)
	}
	next.seal(v)
	return &next, nil
}

func (g *group) with(s *State, sorted []Change) *group {
	next := *g
	for len(sorted) > 0 {
		n := bucketOf(sorted[0].Resource)
		end := runOf(sorted, func(c Change) bool { return bucketOf(c.Resource) == n })
		before := next.buckets[n%fan]
		next.buckets[n%fan] = before.with(sorted[:end])
		s.count += len(next.buckets[n%fan].entries) - len(before.entries)
		s.bytes += next.buckets[n%fan].size() - before.size()
		sorted = sorted[end:]
	}
	next.seal()
	return &next
}

// with merges the entries with changes, both in order.
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
	next.seal()
	return next
}

func (b *bucket) size() (n int) {
	for _, r := range b.entries {
		n += r.size()
	}
	return n
}

func runOf(sorted []Change, same func(Change) bool) int {
	if end := slices.IndexFunc(sorted, func(c Change) bool { return !same(c) }); end >= 0 {
		return end
	}
	return len(sorted)
}

func (s *State) bucket(n int) *bucket { return s.groups[n/fan].buckets[n%fan] }

func bucketOf(r *Resource) int { return int(r.place % buckets) }

func compareKeys(a, b *Resource) int {
	if x, y := bucketOf(a), bucketOf(b); x != y {
		return cmp.Compare(x, y)
	}
	return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Name, b.Name))
}

// seal computes the hash of a level from those under it; an empty bucket's is 0.
func (b *bucket) seal() {
	if len(b.entries) == 0 {
		b.sum = 0
		return
	}
	sums := make([]byte, 0, 256)
	for _, r := range b.entries {
		sums = binary.LittleEndian.AppendUint64(sums, r.digest)
	}
	b.sum = xxhash.Sum64(sums)
}

func (g *group) seal() {
	var sums [8 * fan]byte
	for n, b := range g.buckets {
		binary.LittleEndian.PutUint64(sums[8*n:], b.sum)
	}
	g.sum = xxhash.Sum64(sums[:])
}

func (s *State) seal(v Version) {
	s.version = v
	var sums [8*fan + 16]byte
	for n, g := range s.groups {
		binary.LittleEndian.PutUint64(sums[8*n:], g.sum)
	}
	binary.LittleEndian.PutUint64(sums[8*fan:], v.Token)
	binary.LittleEndian.PutUint64(sums[8*fan+8:], v.Counter)
	s.root = xxhash.Sum64(sums[:])
}
