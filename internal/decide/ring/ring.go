// Package ring decides which service below ("backend") holds which keys: a fixed number of slots, keys to slots by
// hash, slots to backends by a table that a planner changes with the fewest moves that its balance bound allows. It
// owns the table, the plan, the heirs and which backends count as there, and must never do I/O, read a clock, start a
// goroutine or draw chance: the owner of the duty "ring" runs it, members only look slots up.
//
// Tables: a Table holds one entry a slot (2 bytes, at most MostSlots) and its backends (at most MostBackends); a
// Settle one entry a backend ever named, at most MostBackends, forgotten once down and quiet for its longest hold; while a
// backend is cold, a roster of the processes that call (at most MostMembers, emptied with that), a share of the last lot
// a cold backend at each member, and a pace each at the owner.
package ring

import (
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a table.
const (
	MostSlots    = 1 << 16
	MostBackends = 4096
	nobody       = int16(-1)
)

// Backend is one service below, as told or as agreed.
type Backend struct {
	Name   string
	Zone   string
	Weight float64 // its part beside the others', over 0
	Cold   bool    `json:",omitempty"` // it takes only the calls of lots (budget.go), until it has its whole part
	hash   uint64  // of its name, and its zone's number, once in a table
	zone   int
}

// Table says who holds each slot. It is not changed once made: a plan makes another.
type Table struct {
	Version  uint64
	backends []Backend // by name
	slots    []int16   // index of its backend; nobody: none holds it
	mask     uint64
	alike    bool // all weights are the same
}

// New is a table of so many slots (a power of two) that nobody holds.
func New(slots int) (*Table, error) {
	if slots < 2 || slots > MostSlots || bits.OnesCount(uint(slots)) != 1 {
		return nil, fmt.Errorf("slots: found %d, expected a power of two from 2 to %d", slots, MostSlots)
	}
	t := &Table{slots: make([]int16, slots), mask: uint64(slots - 1)}
	for s := range t.slots {
		t.slots[s] = nobody
	}
	return t, nil
}

// Slots is how many it has.
func (t *Table) Slots() int { return len(t.slots) }

// Slot of a key.
func (t *Table) Slot(key string) int { return int(xxhash.Sum64String(key) & t.mask) }

// Holder is the backend that holds a slot; false where none does. It allocates nothing.
func (t *Table) Holder(slot int) (*Backend, bool) {
	if b := t.slots[slot]; b != nobody {
		return &t.backends[b], true
	}
	return nil, false
}

// Backends that it names, by name.
func (t *Table) Backends() []Backend { return t.backends }

// named is the backend of this name; false where the table has none.
func (t *Table) named(name string) (*Backend, bool) {
	at, found := slices.BinarySearchFunc(t.backends, name, func(b Backend, name string) int { return strings.Compare(b.Name, name) })
	if !found {
		return nil, false
	}
	return &t.backends[at], true
}

// Cold tells whether any of its backends is.
func (t *Table) Cold() bool {
	return slices.ContainsFunc(t.backends, func(b Backend) bool { return b.Cold })
}

// Warmed tells whether a backend that was cold in the table before is not in this one, or the other way round.
func (t *Table) Warmed(before *Table) bool {
	return slices.ContainsFunc(t.backends, func(b Backend) bool {
		was, there := before.named(b.Name)
		return there && was.Cold != b.Cold
	})
}

// Counts is how many slots each backend holds, by place in Backends, and how many nobody does.
func (t *Table) Counts() (held []int, free int) {
	held = make([]int, len(t.backends))
	for _, b := range t.slots {
		if b == nobody {
			free++
		} else {
			held[b]++
		}
	}
	return held, free
}

// Heir is the backend that takes a slot first if its holder dies: one of another zone where there is one, the same
// in every member, and moved by nobody's coming or going but its own. False where there is no other backend.
func (t *Table) Heir(slot int) (*Backend, bool) {
	if n, ok := t.heirAmong(slot, nil); ok {
		return &t.backends[n], true
	}
	return nil, false
}

// heirAmong is the heir among those backends that still have a place; nil for all.
func (t *Table) heirAmong(slot int, place []int16) (best int, ok bool) {
	held := t.slots[slot]
	best, most, elsewhere := -1, math.Inf(-1), false
	for n := range t.backends {
		if int16(n) == held || place != nil && place[n] == nobody {
			continue
		}
		b := &t.backends[n]
		far := held != nobody && b.zone != t.backends[held].zone
		if far != elsewhere && !far {
			continue
		}
		if score := b.score(slot, t.alike); far && !elsewhere || score > most {
			best, most, elsewhere = n, score, far
		}
	}
	return best, best >= 0
}

// score is weighted rendezvous: the highest of -weight/log(u), u uniform by slot and name.
func (b *Backend) score(slot int, alike bool) float64 {
	h := b.hash ^ (uint64(slot)+1)*0x9e3779b97f4a7c15
	h ^= h >> 33 // finish as murmur does: the product alone leaves low bits alike
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	u := (float64(h>>11) + 0.5) / (1 << 53)
	if alike {
		return u // in the same order, without the logarithm
	}
	return -b.Weight / math.Log(u)
}

// checked sorts the backends by name. Errors: none, too many, a name twice or empty, a weight that is no part.
func checked(backends []Backend) ([]Backend, error) {
	sorted := slices.SortedFunc(slices.Values(backends), func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	if len(sorted) == 0 || len(sorted) > MostBackends {
		return nil, fmt.Errorf("backends: found %d, expected 1 to %d", len(sorted), MostBackends)
	}
	zones := map[string]int{}
	for n, b := range sorted {
		if _, known := zones[b.Zone]; !known {
			zones[b.Zone] = len(zones)
		}
		sorted[n].zone = zones[b.Zone]
		sorted[n].hash = xxhash.Sum64String(b.Name)
		switch {
		case b.Name == "" || n > 0 && sorted[n-1].Name == b.Name:
			return nil, fmt.Errorf("backends: found the name %q twice or empty, expected each once", b.Name)
		case !(b.Weight > 0) || b.Weight > 1e9:
			return nil, fmt.Errorf("backend %s: weight found %g, expected over 0 and at most 1e9", b.Name, b.Weight)
		}
	}
	return sorted, nil
}
