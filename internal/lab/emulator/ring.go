// This file owns the script on which the ring's plans are measured beside the published ways: backends that join and
// leave, keys counted. It must never count a key as moved that only its slot's number changed for.

package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/ring"
)

// RingFigures are one way's, worst over the script's steps.
type RingFigures struct {
	Way            string
	MovedOverLeast float64 // keys that changed their backend over those that had to, by the step's worst
	MaxOverFair    float64 // keys of the busiest backend over the mean
}

// RingResult is a run's.
type RingResult struct {
	Ways       []RingFigures
	SlotsMoved float64       // of the ring's plans: moves over the least that any plan must make, worst
	SlotsFair  float64       // slots of the busiest backend over its fair part
	Plan       time.Duration // real time of the slowest plan
	Bytes      int           // of the table's slots and backends' records
}

// Ring plays: size backends, half as many join one by one (ten at a time past 40), then they shrink by a third, at last one
// dies and comes back. keys are drawn by the seed.
func Ring(size, slots, keys int, seed uint64) (RingResult, error) {
	r := rand.New(rand.NewPCG(seed, 0x41a6))
	hashes := make([]uint64, keys)
	for k := range hashes {
		hashes[k] = r.Uint64()
	}
	var sets [][]string
	names := func(from, to int) (out []string) {
		for n := from; n < to; n++ {
			out = append(out, fmt.Sprintf("b%05d", n))
		}
		return out
	}
	step := 1
	if size > 40 {
		step = size / 4
	}
	grown := size + size/2
	for n := size; n <= grown; n += step {
		sets = append(sets, names(0, n))
	}
	last := len(sets[len(sets)-1])
	for n := step; n <= last/3; n += step { // those in front leave: the worst case for ways that know numbers
		sets = append(sets, names(n, last))
	}
	end := sets[len(sets)-1]
	dead := append(append([]string{}, end[:len(end)/2]...), end[len(end)/2+1:]...)
	sets = append(sets, dead, end)

	result := RingResult{}
	for _, w := range []struct {
		name string
		f    spread
	}{{"karger", karger}, {"rendezvous", rendezvous}, {"jump", jump}, {"maglev", maglev}, {"bounded_loads", bounded}} {
		result.Ways = append(result.Ways, measure(w.name, w.f, hashes, sets))
	}
	table, err := ring.New(slots)
	if err != nil {
		return result, err
	}
	result.SlotsMoved = 1
	own := func(keys []uint64, names []string) []int {
		var backends []ring.Backend
		for n, name := range names {
			backends = append(backends, ring.Backend{Name: name, Zone: fmt.Sprint(n % 3), Weight: 1})
		}
		start := time.Now() // a measurement of the plan's cost, on which nothing depends
		next, moves, least, e := table.Plan(backends, ring.BalanceBound{}, nil)
		result.Plan = max(result.Plan, time.Since(start))
		if e != nil {
			err = e
			return make([]int, len(keys))
		}
		if least > 0 {
			result.SlotsMoved = max(result.SlotsMoved, float64(len(moves))/float64(least))
		}
		held, _ := next.SlotCounts()
		for _, c := range held {
			result.SlotsFair = max(result.SlotsFair, float64(c)*float64(len(names))/float64(slots))
		}
		table = next
		place := map[string]int{}
		for n, name := range names {
			place[name] = n
		}
		of := make([]int, slots)
		for s := range of {
			b, _ := table.Owner(s)
			of[s] = place[b.Name]
		}
		out := make([]int, len(keys))
		for k, key := range keys {
			out[k] = of[key&uint64(slots-1)]
		}
		return out
	}
	result.Ways = append([]RingFigures{measure("slots", own, hashes, sets)}, result.Ways...)
	result.Bytes = 2*slots + len(end)*56
	return result, err
}

// measure counts, step by step, the keys that changed their backend against those that had to: what the gone ones
// held, or the fair part of the new ones.
func measure(name string, f spread, keys []uint64, sets [][]string) RingFigures {
	figures := RingFigures{Way: name, MovedOverLeast: 1}
	var before []int
	for n, set := range sets {
		now := f(keys, set)
		count := make([]int, len(set))
		for _, b := range now {
			count[b]++
		}
		for _, c := range count {
			figures.MaxOverFair = max(figures.MaxOverFair, float64(c)*float64(len(set))/float64(len(keys)))
		}
		if n > 0 {
			had := map[string]bool{}
			for _, b := range set {
				had[b] = true
			}
			moved, lost := 0, 0
			for k := range keys {
				was := sets[n-1][before[k]]
				if was != set[now[k]] {
					moved++
				}
				if !had[was] {
					lost++
				}
			}
			least := float64(lost)
			if more := len(set) - len(sets[n-1]); more > 0 {
				least += float64(len(keys)) * float64(more) / float64(len(set))
			}
			figures.MovedOverLeast = max(figures.MovedOverLeast, float64(moved)/least)
		}
		before = now
	}
	return figures
}
