// This file owns a member's repair by digests: what it lacks is put together beside the state in force, and takes its
// place only where the whole has the digest that the source gives for its version.

package configuration

import (
	"math"
	"slices"
	"time"
)

const (
	mostRounds   = 6               // of comparing; a round is lost where the source's state moves on meanwhile
	mostBuckets  = 256             // asked for at once
	repairAgain  = 2 * time.Second // after which a question is put once more
	repairJitter = time.Second
)

// repair is one that is under way. Its size is bounded as a State's; what it shares with the one in force costs nothing.
type repair struct {
	staged *State
	want   []uint16 // buckets that differ, in order
	filled bool     // the buckets are known: it asks for these
	rounds int
	again  time.Duration
}

const notYet = math.MaxInt64 // the source hasn't said that it has something to compare with

// begin compares anew, at the next tick from a time on.
func (r *repair) begin(from time.Duration) { r.want, r.filled, r.again = nil, false, from }

func (r *repair) tick(now time.Duration, m *Member) {
	if now < r.again {
		return
	}
	r.again = now + repairAgain + m.jitter(repairJitter)
	if !r.filled {
		sums := Sums{}
		for n, g := range r.staged.groups {
			sums.Groups[n] = uint32(g.sum)
		}
		m.host.Send(m.source(), sums)
		return
	}
	ask := Buckets{}
	for _, n := range r.want[:min(len(r.want), mostBuckets)] {
		b := BucketSums{Bucket: n}
		for _, resource := range r.staged.bucket(int(n)).entries {
			b.Digests = append(b.Digests, uint32(resource.digest))
		}
		ask.Buckets = append(ask.Buckets, b)
	}
	m.host.Send(m.source(), ask)
}

// groups says which buckets differ.
func (m *Member) groups(now time.Duration, from string, g Groups) error {
	r := m.repair
	if r == nil || r.filled || from != m.source() {
		return nil
	}
	for _, sums := range g.Groups {
		for n, sum := range sums.Buckets {
			if uint32(r.staged.groups[sums.Group].buckets[n].sum) != sum {
				r.want = append(r.want, uint16(int(sums.Group)*fan+n))
			}
		}
	}
	r.filled, r.again = true, now
	return m.compared(now, from, g.At)
}

// fill takes some buckets in.
func (m *Member) fill(now time.Duration, from string, f Fill) error {
	r := m.repair
	if r == nil || !r.filled || from != m.source() {
		return nil
	}
	var changes []Change
	var taken []uint16
	for _, b := range f.Buckets {
		if _, wanted := slices.BinarySearch(r.want, b.Bucket); !wanted {
			continue // an answer that came twice
		}
		taken = append(taken, b.Bucket)
		changes = append(changes, b.changes(r.staged.bucket(int(b.Bucket)))...)
	}
	next, err := r.staged.With(f.Version, changes)
	if err != nil {
		m.blame(now, from)
		return err
	}
	r.staged, r.again = next, now
	r.want = slices.DeleteFunc(r.want, func(n uint16) bool { return slices.Contains(taken, n) })
	if torn {
		m.install(now, next, f.At)
		return nil
	}
	return m.compared(now, from, f.At)
}

// changes turns a bucket into the sender's: what is dropped and then added again under its key is one change.
func (f BucketFill) changes(b *bucket) []Change {
	var changes []Change
	for _, r := range b.entries {
		replaced := slices.ContainsFunc(f.Add, func(a *Resource) bool { return compareKeys(a, r) == 0 })
		if slices.Contains(f.Drop, uint32(r.digest)) && !replaced {
			changes = append(changes, Change{Resource: r, Removed: true})
		}
	}
	for _, r := range f.Add {
		changes = append(changes, Change{Resource: r})
	}
	return changes
}

// compared goes on where buckets are wanted still; otherwise the staged state takes force if its digest is the source's.
func (m *Member) compared(now time.Duration, from string, a At) error {
	r := m.repair
	if len(r.want) > 0 {
		r.tick(now, m)
		return nil
	}
	next, err := r.staged.With(a.Version, nil)
	if err != nil {
		return err
	}
	if a.Version.Compare(m.state.version) <= 0 {
		m.repair = nil // it has been overtaken
		return nil
	}
	if next.root == a.Root || unchecked {
		m.history = &History{}
		m.Counts.Repairs++
		m.install(now, next, a)
		return nil
	}
	if r.rounds++; r.rounds < mostRounds {
		r.begin(now)
		r.tick(now, m)
		return nil
	}
	m.repair = nil
	m.blame(now, from)
	return refuse(WrongDigest, "%v of %s after %d rounds", a.Version, from, mostRounds)
}
