// This file owns the rebalancer. It must never move a slot that the bound lets stay, nor leave one outside the bound.

package ring

import (
	"math"
	"slices"
)

// Move is one slot's change of holder; From is "" where nobody held it.
type Move struct {
	Slot     int
	From, To string
}

// Band is the balance bound: a backend's slots lie within slack of its fair part by weight, or at the next whole
// numbers around that part where slack is less than one slot.
type Band struct{ Slack float64 } // 0 to 1

// of is the fewest and the most slots that a fair part may have.
func (b Band) of(fair float64) (low, high int) {
	low = min(int(math.Floor(fair)), int(math.Ceil(fair*(1-b.Slack))))
	high = max(int(math.Ceil(fair)), int(math.Floor(fair*(1+b.Slack))))
	return low, high
}

// Least is the fewest moves that any assignment within the band must make from what each holds: a backend over its
// most must give the rest away, one under its fewest must get the rest, and what nobody of them holds must be given
// out. A move takes from one and gives to one, so no plan makes fewer than the larger of the two sums; Plan makes as many.
func Least(held, low, high []int, free int) int {
	give, get := free, 0
	for n, c := range held {
		give += max(c-high[n], 0)
		get += max(low[n]-c, 0)
	}
	return max(give, get)
}

// Plan is the next table over these backends, the moves to it by slot, and the least that any plan must make. What a
// backend that is no longer there held goes to the slot's heir where the bound has room for it. heat, if given, is
// each slot's measured load: of those that must go the hottest go first from a backend that is over its part by heat,
// the coldest first from one that is under. Errors: as for the backends.
func (t *Table) Plan(backends []Backend, band Band, heat []float64) (next *Table, moves []Move, least int, err error) {
	sorted, err := checked(backends)
	if err != nil {
		return nil, nil, 0, err
	}
	next = &Table{Version: t.Version + 1, backends: sorted, slots: make([]int16, len(t.slots)), mask: t.mask, alike: alike(sorted)}
	place := make([]int16, len(t.backends)) // of the old backends among the new
	for n, b := range t.backends {
		place[n] = nobody
		if at, found := slices.BinarySearchFunc(sorted, b.Name, func(x Backend, name string) int {
			if x.Name < name {
				return -1
			} else if x.Name > name {
				return 1
			}
			return 0
		}); found {
			place[n] = int16(at)
		}
	}
	held, warm := make([]int, len(sorted)), make([]float64, len(sorted))
	var loose []int // slots without a holder now
	for s, b := range t.slots {
		if next.slots[s] = nobody; b != nobody {
			next.slots[s] = place[b]
		}
		if now := next.slots[s]; now == nobody {
			loose = append(loose, s)
		} else if held[now]++; heat != nil {
			warm[now] += heat[s]
		}
	}
	heirs, wants := make([]int16, len(loose)), make([]int, len(sorted))
	heirOf := t.heirsAmong(place)
	for k, s := range loose {
		heirs[k] = nobody
		if t.slots[s] == nobody {
			continue
		}
		if b, ok := heirOf(s); ok {
			heirs[k] = place[b]
			wants[place[b]]++
		}
	}
	low, high, target := next.targets(band, held, wants)
	least = Least(held, low, high, len(loose))
	given := next.give(held, target, warm, heat)
	rest := given
	for k, s := range loose {
		heir := heirs[k]
		if heir == nobody || held[heir] >= target[heir] {
			rest = append(rest, s)
			continue
		}
		next.slots[s] = heir
		held[heir]++
	}
	next.fill(rest, held, target)
	for s, b := range next.slots {
		from := ""
		if old := t.slots[s]; old != nobody {
			from = t.backends[old].Name
		}
		if to := sorted[b].Name; to != from {
			moves = append(moves, Move{s, from, to})
		}
	}
	return next, moves, least, nil
}

// survivors are the backends that still have a place, side by side for a plan that looks for many heirs.
type survivors struct {
	hash []uint64
	zone []int32
	at   []int32 // among all
}

// heirsAmong is heirAmong for the slots of backends that have no place any more, made for many slots. Where all weights
// are alike it compares the hashes themselves.
func (t *Table) heirsAmong(place []int16) func(slot int) (best int, ok bool) {
	if !t.alike {
		return func(slot int) (int, bool) { return t.heirAmong(slot, place) }
	}
	var s survivors
	for n := range t.backends {
		if place[n] != nobody {
			s.hash = append(s.hash, t.backends[n].hash)
			s.zone = append(s.zone, int32(t.backends[n].zone))
			s.at = append(s.at, int32(n))
		}
	}
	return func(slot int) (int, bool) {
		if best, ok := s.elsewhere(slot, int32(t.backends[t.slots[slot]].zone)); ok {
			return best, true
		}
		return t.heirAmong(slot, place) // nobody is left in another zone
	}
}

// elsewhere is the survivor of another zone with the highest score, the first of equals, as Backend.score has it.
func (s *survivors) elsewhere(slot int, zone int32) (best int, ok bool) {
	salt := (uint64(slot) + 1) * 0x9e3779b97f4a7c15
	most, at := uint64(0), -1
	zones := s.zone[:len(s.hash)]
	for n, h := range s.hash {
		h ^= salt
		h ^= h >> 33
		h *= 0xff51afd7ed558ccd
		h ^= h >> 33
		if h >>= 11; h < most || zones[n] == zone {
			continue
		}
		if at < 0 || float64(h)+0.5 > float64(most)+0.5 {
			most, at = h, n
		}
	}
	if at < 0 {
		return -1, false
	}
	return int(s.at[at]), true
}

// alike tells whether all weights are the same.
func alike(backends []Backend) bool {
	return !slices.ContainsFunc(backends, func(b Backend) bool { return b.Weight != backends[0].Weight })
}

// targets is how many slots each shall hold: what it holds, brought within the band, then as few steps as make the
// sum right. Up costs nothing more (it takes what must be given out anyway), so heirs with wants go first; down only
// where too few give.
func (t *Table) targets(band Band, held, wants []int) (low, high, target []int) {
	total := 0.0
	for _, b := range t.backends {
		total += b.Weight
	}
	n := len(t.backends)
	low, high, target = make([]int, n), make([]int, n), make([]int, n)
	fair, missing := make([]float64, n), len(t.slots)
	for k, b := range t.backends {
		fair[k] = float64(len(t.slots)) * b.Weight / total
		low[k], high[k] = band.of(fair[k])
		target[k] = min(max(held[k], low[k]), high[k])
		missing -= target[k]
	}
	for k := range target {
		more := min(high[k]-target[k], wants[k]-(target[k]-held[k]), missing)
		target[k], missing = target[k]+max(more, 0), missing-max(more, 0)
	}
	for step := 1; missing != 0; {
		if step = 1; missing < 0 {
			step = -1
		}
		best := -1 // the furthest from its fair part in the direction that we go; of equals the first by name
		for k := range target {
			if room := target[k]+step >= low[k] && target[k]+step <= high[k]; room && (best < 0 ||
				float64(step)*(fair[k]-float64(target[k])) > float64(step)*(fair[best]-float64(target[best]))) {
				best = k
			}
		}
		target[best] += step // there is one: the whole numbers around the fair parts sum to the slots both ways
		missing -= step
	}
	return low, high, target
}

// give takes from each backend what it holds over its target.
func (t *Table) give(held, target []int, warm, heat []float64) (given []int) {
	mean := 0.0
	for _, w := range warm {
		mean += w / float64(len(warm))
	}
	of := make([][]int, len(held)) // slots of those that give
	for s, b := range t.slots {
		if b != nobody && held[b] > target[b] {
			of[b] = append(of[b], s)
		}
	}
	for b, slots := range of {
		over := held[b] - target[b]
		if over <= 0 {
			continue
		}
		if heat != nil {
			hot := warm[b] > mean
			slices.SortStableFunc(slots, func(x, y int) int {
				if heat[x] == heat[y] {
					return 0
				} else if (heat[x] > heat[y]) == hot {
					return -1
				}
				return 1
			})
		}
		for _, s := range slots[:over] {
			t.slots[s] = nobody
			given = append(given, s)
		}
		held[b] = target[b]
	}
	return given
}

// fill gives each slot to a backend under its target, by name.
func (t *Table) fill(rest, held, target []int) {
	to := 0
	for _, s := range rest {
		for held[to] >= target[to] {
			to++
		}
		t.slots[s] = int16(to)
		held[to]++
	}
}
