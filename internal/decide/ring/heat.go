// This file owns the ring's loads: each member's counts of its calls, their sum at the owner, and moves that relieve
// the hottest backend. It must never move a slot whose relief is worth less than what its move costs.

package ring

import (
	"cmp"
	"slices"
	"time"
)

// Counts are one member's calls by slot in a period: 4 bytes a slot, so 256 KiB at the most slots. A sketch of the
// hottest alone (Space-Saving) was tried: at 128 slots a call on another cost a search through them all, 2 us.
type Counts struct{ slots []uint32 }

// NewCounts is of a table's slots.
func NewCounts(slots int) *Counts { return &Counts{make([]uint32, slots)} }

// Called: a call on a slot.
func (c *Counts) Called(slot int) {
	if c.slots[slot] < 1<<32-1 {
		c.slots[slot]++
	}
}

// Load is one slot's calls.
type Load struct {
	Slot  int
	Calls float64
}

// Take returns the hottest slots, at most so many, and all calls, and begins anew: what a member reports each period.
func (c *Counts) Take(most int) (hot []Load, all float64) {
	for s, n := range c.slots {
		if all += float64(n); n > 0 {
			hot = append(hot, Load{s, float64(n)})
		}
	}
	slices.SortFunc(hot, func(x, y Load) int { return cmp.Or(-cmp.Compare(x.Calls, y.Calls), cmp.Compare(x.Slot, y.Slot)) })
	clear(c.slots)
	return hot[:min(most, len(hot))], all
}

// Heat is the owner's sum of what members report, forgotten by half a period: calls a period, by slot.
type Heat struct{ slots []float64 }

// NewHeat is of a table's slots.
func NewHeat(slots int) *Heat { return &Heat{slots: make([]float64, slots)} }

// Slots are the loads now; not to be kept.
func (h *Heat) Slots() []float64 { return h.slots }

// Period halves what is known, and adds one period's reports: the named slots' calls, the rest spread over all.
func (h *Heat) Period(reports [][]Load, all float64) {
	for s := range h.slots {
		h.slots[s] /= 2
	}
	named := 0.0
	for _, r := range reports {
		for _, l := range r {
			if l.Slot >= 0 && l.Slot < len(h.slots) && l.Calls > 0 {
				h.slots[l.Slot] += l.Calls / 2
				named += l.Calls
			}
		}
	}
	for s := range h.slots {
		h.slots[s] += max(all-named, 0) / 2 / float64(len(h.slots))
	}
}

// Worth is when a move for heat pays.
type Worth struct {
	High, Low float64       // hottest backend over the mean by weight: above High it begins, at Low it ends
	Most      int           // moves in one plan
	Stall     time.Duration // that a slot stands while it moves
	Horizon   time.Duration // for which a move is taken to relieve
}

// Relieve is the next table with slots moved from the hottest backends to the coolest, by weight, while each move's
// relief over the horizon is worth more than the calls that stand meanwhile, and the counts stay within the band. A slot
// that would carry more than twice what it relieves stays where it is. No moves where nothing pays.
func (t *Table) Relieve(heat []float64, band Band, w Worth) (next *Table, moves []Move) {
	next = &Table{Version: t.Version + 1, backends: t.backends, slots: slices.Clone(t.slots), mask: t.mask, alike: t.alike}
	n := len(t.backends)
	load, held, of, weight, total := make([]float64, n), make([]int, n), make([][]int, n), 0.0, 0.0
	for s, b := range t.slots {
		if b != nobody {
			load[b] += heat[s]
			held[b]++
			of[b] = append(of[b], s)
			total += heat[s]
		}
	}
	for _, b := range t.backends {
		weight += b.Weight
	}
	over := func(b int) float64 { return load[b] / t.backends[b].Weight / (total / weight) }
	if total == 0 || n < 2 {
		return next, nil
	}
	bound := w.High
	for len(moves) < w.Most {
		hot, cool := 0, 0
		for b := range n {
			if over(b) > over(hot) {
				hot = b
			}
			if over(b) < over(cool) {
				cool = b
			}
		}
		if over(hot) <= bound {
			break
		}
		bound = w.Low
		low, _ := band.of(float64(len(t.slots)) * t.backends[hot].Weight / weight)
		_, high := band.of(float64(len(t.slots)) * t.backends[cool].Weight / weight)
		if held[hot] <= low || held[cool] >= high {
			break
		}
		best, relief := -1, 0.0
		for k, s := range of[hot] {
			gain := min(heat[s], load[hot]-load[cool]*t.backends[hot].Weight/t.backends[cool].Weight-heat[s])
			if gain > relief && 2*gain >= heat[s] && gain*w.Horizon.Seconds() > heat[s]*w.Stall.Seconds() {
				best, relief = k, gain
			}
		}
		if best < 0 {
			break
		}
		s := of[hot][best]
		of[hot] = slices.Delete(of[hot], best, best+1)
		of[cool] = append(of[cool], s)
		load[hot], load[cool], held[hot], held[cool] = load[hot]-heat[s], load[cool]+heat[s], held[hot]-1, held[cool]+1
		next.slots[s] = int16(cool)
		moves = append(moves, Move{s, t.backends[hot].Name, t.backends[cool].Name})
	}
	return next, moves
}

// HottestOver is the hottest backend's load by weight over the mean; 0 where there is none.
func (t *Table) HottestOver(heat []float64) (most float64) {
	load, weight, total := make([]float64, len(t.backends)), 0.0, 0.0
	for s, b := range t.slots {
		if b != nobody {
			load[b] += heat[s]
			total += heat[s]
		}
	}
	for _, b := range t.backends {
		weight += b.Weight
	}
	for n, b := range t.backends {
		if total > 0 {
			most = max(most, load[n]/b.Weight/(total/weight))
		}
	}
	return most
}
