package ring

import (
	"cmp"
	"math"
	"slices"
)

// LoadCounter counts one member's calls by slot in a period, in 4 bytes a slot. A sketch of the top slots alone
// (Space-Saving) was slower: at 128 entries a call on another slot took 2 us for the search.
type LoadCounter struct{ calls []uint32 }

// NewLoadCounter returns a counter for a table of so many slots.
func NewLoadCounter(slots int) *LoadCounter { return &LoadCounter{make([]uint32, slots)} }

// Record counts a call on a slot.
func (c *LoadCounter) Record(slot int) {
	if c.calls[slot] < math.MaxUint32 {
		c.calls[slot]++
	}
}

// SlotLoad is the number of calls on one slot in a period.
type SlotLoad struct {
	Slot  int
	Calls float64
}

// Report returns the most loaded slots, at most maxSlots, and the sum over all slots, and resets the counter.
func (c *LoadCounter) Report(maxSlots int) (top []SlotLoad, total float64) {
	for slot, calls := range c.calls {
		if calls > 0 {
			total += float64(calls)
			top = append(top, SlotLoad{slot, float64(calls)})
		}
	}
	slices.SortFunc(top, func(x, y SlotLoad) int {
		return cmp.Or(-cmp.Compare(x.Calls, y.Calls), cmp.Compare(x.Slot, y.Slot))
	})
	clear(c.calls)
	return top[:min(maxSlots, len(top))], total
}

// LoadEstimate is the leader's moving average of the members' reports: calls in a period by slot. The weight of a
// report halves each period.
type LoadEstimate struct{ perSlot []float64 }

// NewLoadEstimate returns an estimate for a table of so many slots.
func NewLoadEstimate(slots int) *LoadEstimate { return &LoadEstimate{perSlot: make([]float64, slots)} }

// PerSlot returns the loads by slot. They are valid until the next AddPeriod, and must not be changed.
func (e *LoadEstimate) PerSlot() []float64 { return e.perSlot }

// AddPeriod adds the reports of one period. Calls of the total that no report attributes to a slot are spread over all
// slots. Reports of unknown slots and negative counts are ignored.
func (e *LoadEstimate) AddPeriod(reports [][]SlotLoad, total float64) {
	for slot := range e.perSlot {
		e.perSlot[slot] /= 2
	}
	attributed := 0.0
	for _, report := range reports {
		for _, load := range report {
			if load.Slot >= 0 && load.Slot < len(e.perSlot) && load.Calls > 0 {
				e.perSlot[load.Slot] += load.Calls / 2
				attributed += load.Calls
			}
		}
	}
	for slot := range e.perSlot {
		e.perSlot[slot] += max(total-attributed, 0) / 2 / float64(len(e.perSlot))
	}
}
