// This file owns the order: waves of instances that may be away at once. It must never put two voters, or a zone's last
// instance at work, into one wave.

package rollout

import (
	"math"
	"slices"
)

// Wave is what goes together, and the capacity that each zone has while it is away.
type Wave struct {
	Names []string
	Have  map[string]float64
}

// Plan is the order in which all that run another release than want would be drained, were nothing to happen
// meanwhile: each wave back and warm before the next. Bound is a number of waves that no order can do with less.
// Errors: *Refusal where a zone can't spare even its smallest.
func Plan(fleet []Instance, load map[string]float64, want string, b Bounds) (waves []Wave, bound int, err error) {
	now := slices.Clone(fleet)
	var todo []Instance
	for n, i := range now {
		if i.Silent || i.Leaving {
			continue
		}
		now[n].Age, now[n].Busy = b.WarmAfter, false // as it will be when its turn comes
		if i.Release != want {
			todo = append(todo, now[n])
		}
	}
	zones := b.zones(now, load)
	if bound, err = b.bound(todo, zones); err != nil {
		return nil, 0, err
	}
	order := newOrder(todo, zones)
	for len(order.todo) > 0 {
		chosen := order.choose(b.AtOnce, false)
		wave := Wave{Names: make([]string, len(chosen)), Have: make(map[string]float64, len(zones))}
		for n, w := range chosen {
			wave.Names[n] = w.Name
		}
		for name, z := range zones {
			wave.Have[name] = z.have
		}
		slices.SortFunc(chosen, func(x, y *waiting) int { return x.place - y.place })
		for _, w := range chosen {
			wave.Have[w.Zone] -= w.Capacity
		}
		waves = append(waves, wave)
	}
	return waves, bound, nil
}

// bound is the most of: instances by those at once, voters by one at once, and each zone's work by what it can spare.
func (b Bounds) bound(todo []Instance, zones map[string]*zone) (int, error) {
	voters, sum, count, least := 0, map[string]float64{}, map[string]int{}, map[string]float64{}
	for _, i := range todo {
		if i.Voter {
			voters++
		}
		sum[i.Zone] += i.Capacity
		count[i.Zone]++
		if least[i.Zone] == 0 || i.Capacity < least[i.Zone] {
			least[i.Zone] = i.Capacity
		}
	}
	most := max(voters, (len(todo)+b.AtOnce-1)/b.AtOnce)
	for _, i := range todo {
		z := zones[i.Zone]
		if !z.spares(i.Capacity, 0, 0) {
			return 0, &Refusal{Zone: z.name, Has: z.have, Needs: z.floor + z.largest, Away: i.Capacity}
		}
	}
	for name, whole := range sum {
		z := zones[name]
		most = max(most, int(math.Ceil(whole/z.spare()-1e-9)))
		fit := min(int(z.spare()/least[name]+1e-9), z.up-1) // of the smallest, as many as fit at once
		most = max(most, (count[name]+fit-1)/fit)
	}
	return most, nil
}

// spares tells whether one of this capacity may go, when so much and so many of the zone are chosen already.
func (z *zone) spares(capacity, away float64, gone int) bool {
	return away+capacity <= z.spare()*(1+1e-12) && z.up-gone > 1
}
