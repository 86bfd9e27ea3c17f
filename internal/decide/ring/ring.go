// Package ring decides which backend owns which keys. Keys hash to a fixed number of slots, a table assigns each slot
// to a backend, and a planner changes the table with the fewest slot migrations that the balance bound allows.
//
// The package is deterministic: it does no I/O, reads no clock, starts no goroutine and draws no random number. The
// leader plans and migrates; the other members only look up slots. Only a Table, which is immutable, is safe for
// concurrent use.
//
// Memory is bounded. A Table holds two bytes per slot (at most MaxSlots) and its backends (at most MaxBackends). A
// FlapDamper holds one entry per backend (at most MaxBackends) and removes it once the backend has been down for long.
// A ReplicatedState holds at most MaxMembers participants, and only while a backend is warming up.
package ring

import (
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxSlots is the largest number of slots in a table.
	MaxSlots = 1 << 16
	// MaxBackends is the largest number of backends in a table.
	MaxBackends = 4096

	minSlots   = 2
	maxWeight  = 1e9
	unassigned = int16(-1) // index of the owner of a slot that no backend owns
)

// Backend is one server that can own slots. Its JSON form is part of the replicated log and its snapshots.
type Backend struct {
	Name   string
	Zone   string
	Weight float64 // relative to the other backends; greater than 0, at most 1e9
	// WarmingUp marks a backend in slow start. It receives only the calls that grants allot.
	WarmingUp bool `json:"Cold,omitempty"`

	hash      uint64 // of Name; set by normalizeBackends
	zoneIndex int    // identifies Zone within the table; set by normalizeBackends
}

// Table assigns slots to backends. It is immutable: Plan and Rebalance return a new table.
type Table struct {
	Version      uint64
	backends     []Backend // sorted by name
	slots        []int16   // index of the owning backend, or unassigned
	mask         uint64    // len(slots) - 1
	equalWeights bool      // whether all backends have the same weight
}

// New returns a table with the given number of slots, all unassigned. It fails with a *ValueError unless the number is a
// power of two from 2 to MaxSlots.
func New(slots int) (*Table, error) {
	if slots < minSlots || slots > MaxSlots || bits.OnesCount(uint(slots)) != 1 {
		return nil, newValueError("number of slots", slots, "a power of two from %d to %d", minSlots, MaxSlots)
	}
	t := &Table{slots: make([]int16, slots), mask: uint64(slots - 1)}
	for slot := range t.slots {
		t.slots[slot] = unassigned
	}
	return t, nil
}

// Slots returns the number of slots.
func (t *Table) Slots() int { return len(t.slots) }

// Slot returns the slot that a key hashes to.
func (t *Table) Slot(key string) int { return int(xxhash.Sum64String(key) & t.mask) }

// Owner returns the backend that owns a slot, or false if the slot is unassigned. It does not allocate.
func (t *Table) Owner(slot int) (*Backend, bool) {
	if b := t.slots[slot]; b != unassigned {
		return &t.backends[b], true
	}
	return nil, false
}

// Backends returns the backends, sorted by name. The caller must not modify the slice.
func (t *Table) Backends() []Backend { return t.backends }

// HasWarmingUp reports whether any backend is warming up.
func (t *Table) HasWarmingUp() bool {
	return slices.ContainsFunc(t.backends, func(b Backend) bool { return b.WarmingUp })
}

// WarmUpChangedSince reports whether any backend that is in both tables is warming up in only one of them.
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

// indexOfBackend finds a backend by name in a slice sorted by name.
func indexOfBackend(sorted []Backend, name string) (int, bool) {
	return slices.BinarySearchFunc(sorted, name, func(b Backend, name string) int { return strings.Compare(b.Name, name) })
}

// normalizeBackends returns a copy of the backends, sorted by name and with their unexported fields set. It fails with a
// *ValueError if there are no or too many backends, a name is empty or repeated, or a weight is out of range.
func normalizeBackends(backends []Backend) ([]Backend, error) {
	sorted := slices.SortedFunc(slices.Values(backends), func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	if len(sorted) == 0 || len(sorted) > MaxBackends {
		return nil, newValueError("number of backends", len(sorted), "1 to %d", MaxBackends)
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
			return nil, newValueError("backend name", strconv.Quote(b.Name), "a unique name that is not empty")
		}
		if !(b.Weight > 0) || b.Weight > maxWeight {
			return nil, newValueError("weight of backend "+b.Name, b.Weight, "greater than 0 and at most %g", float64(maxWeight))
		}
	}
	return sorted, nil
}

// haveEqualWeights reports whether all backends have the same weight.
func haveEqualWeights(backends []Backend) bool {
	return !slices.ContainsFunc(backends, func(b Backend) bool { return b.Weight != backends[0].Weight })
}
