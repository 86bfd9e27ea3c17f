// Package ring decides which backend owns which keys. Keys hash to a fixed number of slots, a table assigns each slot
// to a backend, and a planner changes the table with the fewest slot migrations that the balance bound allows.
//
// The package is pure: it does no I/O, reads no clock, starts no goroutine and draws no random number. The leader of
// the ring plans and migrates; every member only looks slots up. Nothing here is safe for concurrent use except a
// Table, which is immutable once made.
//
// Memory is bounded: a Table holds two bytes a slot (at most MaxSlots) and its backends (at most MaxBackends); a
// FlapDamper one entry a backend, at most MaxBackends, removed once the backend is down and quiet; a ReplicatedState
// at most MaxMembers participants, and only while a backend is warming up.
package ring

import (
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSlots bounds the slots of a table.
	MaxSlots = 1 << 16
	// MaxBackends bounds the backends of a table.
	MaxBackends = 4096

	minSlots   = 2
	maxWeight  = 1e9
	unassigned = int16(-1) // in place of a backend's index
)

// Backend is one server that can own slots. Its JSON form is part of the replicated log and its snapshots.
type Backend struct {
	Name   string
	Zone   string
	Weight float64 // relative to the other backends; over 0, at most 1e9
	// WarmingUp marks a backend in slow start: it gets only the calls of a Grant.
	WarmingUp bool `json:"Cold,omitempty"`

	hash      uint64 // of Name; set in a table
	zoneIndex int    // number of Zone; set in a table
}

// Table assigns slots to backends. It is immutable: Plan and Rebalance return another table.
type Table struct {
	Version      uint64
	backends     []Backend // sorted by name
	slots        []int16   // index of the owning backend, or unassigned
	mask         uint64    // len(slots) - 1
	equalWeights bool      // all backends have the same weight
}

// New returns a table of so many slots, all unassigned. It fails with a *ValueError unless their number is a power of two from
// 2 to MaxSlots.
func New(slots int) (*Table, error) {
	if slots < minSlots || slots > MaxSlots || bits.OnesCount(uint(slots)) != 1 {
		return nil, newValueError("slots", slots, "a power of two from %d to %d", minSlots, MaxSlots)
	}
	t := &Table{slots: make([]int16, slots), mask: uint64(slots - 1)}
	for slot := range t.slots {
		t.slots[slot] = unassigned
	}
	return t, nil
}

// Slots returns the number of slots.
func (t *Table) Slots() int { return len(t.slots) }

// Slot returns the slot of a key.
func (t *Table) Slot(key string) int { return int(xxhash.Sum64String(key) & t.mask) }

// Owner returns the backend that owns a slot, or false for an unassigned slot. It does not allocate.
func (t *Table) Owner(slot int) (*Backend, bool) {
	if b := t.slots[slot]; b != unassigned {
		return &t.backends[b], true
	}
	return nil, false
}

// Backends returns the backends sorted by name. The caller must not change them.
func (t *Table) Backends() []Backend { return t.backends }

// HasWarmingUp reports whether any backend is warming up.
func (t *Table) HasWarmingUp() bool {
	return slices.ContainsFunc(t.backends, func(b Backend) bool { return b.WarmingUp })
}

// WarmUpChangedSince reports whether a backend of both tables is warming up in only one of them.
func (t *Table) WarmUpChangedSince(previous *Table) bool {
	return slices.ContainsFunc(t.backends, func(b Backend) bool {
		was, found := previous.backendNamed(b.Name)
		return found && was.WarmingUp != b.WarmingUp
	})
}

// SlotCounts returns how many slots each backend owns, in the order of Backends, and how many are unassigned.
func (t *Table) SlotCounts() (owned []int, free int) {
	owned = make([]int, len(t.backends))
	for _, b := range t.slots {
		if b == unassigned {
			free++
		} else {
			owned[b]++
		}
	}
	return owned, free
}

func (t *Table) backendNamed(name string) (*Backend, bool) {
	index, found := indexOfBackend(t.backends, name)
	if !found {
		return nil, false
	}
	return &t.backends[index], true
}

func (t *Table) totalWeight() (total float64) {
	for _, b := range t.backends {
		total += b.Weight
	}
	return total
}

// indexOfBackend searches backends that are sorted by name.
func indexOfBackend(sorted []Backend, name string) (int, bool) {
	return slices.BinarySearchFunc(sorted, name, func(b Backend, name string) int { return strings.Compare(b.Name, name) })
}

// normalizeBackends returns a copy sorted by name, with the fields that a table needs. It fails with a *ValueError
// on no or too many backends, on an empty or repeated name, and on a weight out of range.
func normalizeBackends(backends []Backend) ([]Backend, error) {
	sorted := slices.SortedFunc(slices.Values(backends), func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	if len(sorted) == 0 || len(sorted) > MaxBackends {
		return nil, newValueError("backends", len(sorted), "1 to %d", MaxBackends)
	}
	zones := map[string]int{}
	for n := range sorted {
		b := &sorted[n]
		if _, known := zones[b.Zone]; !known {
			zones[b.Zone] = len(zones)
		}
		b.zoneIndex = zones[b.Zone]
		b.hash = xxhash.Sum64String(b.Name)
		if b.Name == "" || n > 0 && sorted[n-1].Name == b.Name {
			return nil, newValueError("backend name", strconv.Quote(b.Name), "not empty, and each once")
		}
		if !(b.Weight > 0) || b.Weight > maxWeight {
			return nil, newValueError("weight of backend "+b.Name, b.Weight, "over 0 and at most %g", float64(maxWeight))
		}
	}
	return sorted, nil
}

// haveEqualWeights reports whether all weights are the same.
func haveEqualWeights(backends []Backend) bool {
	return !slices.ContainsFunc(backends, func(b Backend) bool { return b.Weight != backends[0].Weight })
}
