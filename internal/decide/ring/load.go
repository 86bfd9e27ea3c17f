package ring

import (
	"cmp"
	"math"
	"slices"
)

// LoadCounter counts one member's calls by slot in a period, in 4 bytes per slot. A Space-Saving sketch of only the
// most loaded slots was slower: with 128 entries, a call on a slot outside the sketch took 2 us for the search.
type LoadCounter struct{ calls []uint32 }

// NewLoadCounter returns a counter for a table with the given number of slots.
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

// Report returns up to maxSlots slots, the most loaded first, and the calls on all slots. It resets the counter.
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

// LoadEstimate is the leader's exponential moving average of the members' reports: calls per period by slot. The weight
// of a report halves each period.
type LoadEstimate struct{ perSlot []float64 }

// NewLoadEstimate returns an estimate for a table with the given number of slots.
func NewLoadEstimate(slots int) *LoadEstimate { return &LoadEstimate{perSlot: make([]float64, slots)} }

// PerSlot returns the load of each slot. The slice is valid until the next AddPeriod and must not be modified.
func (e *LoadEstimate) PerSlot() []float64 { return e.perSlot }

// AddPeriod adds the reports of one period; total is the members' calls on all slots. Calls that no report attributes to
// a slot are spread evenly over all slots. Unknown slots and counts that are not positive are ignored.
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
