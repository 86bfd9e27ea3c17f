// This file owns the order: waves of instances that may be away at once. It must never put two voters, or a zone's last
// instance at work, into one wave.

package roll

import (
	"cmp"
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
		now[n].Age = b.WarmAfter // as it will be when its turn comes
		if i.Release != want {
			todo = append(todo, now[n])
		}
	}
	zones := b.zones(now, load)
	if bound, err = b.bound(todo, zones); err != nil {
		return nil, 0, err
	}
	for len(todo) > 0 {
		wave := Wave{Have: map[string]float64{}}
		names := b.choose(todo, zones, b.AtOnce, false)
		todo = slices.DeleteFunc(todo, func(i Instance) bool { return slices.Contains(names, i.Name) })
		wave.Names = names
		for _, z := range zones {
			wave.Have[z.name] = z.have
		}
		for _, i := range now {
			if slices.Contains(names, i.Name) {
				wave.Have[i.Zone] -= i.Capacity
			}
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

// choose takes from todo what may go at once, at most so many; voting tells that a voter is away already. Zones that
// need the most waves still come first, in a zone the largest, as they leave the smaller to fill up with; of equals by
// name. The owner goes alone at the end, having handed on its duty.
func (b Bounds) choose(todo []Instance, zones map[string]*zone, most int, voting bool) (names []string) {
	need, away, gone := map[string]float64{}, map[string]float64{}, map[string]int{}
	for _, i := range todo {
		need[i.Zone] += i.Capacity / max(zones[i.Zone].spare(), 1e-9)
	}
	order := slices.SortedFunc(slices.Values(todo), func(x, y Instance) int {
		return cmp.Or(-cmp.Compare(need[x.Zone], need[y.Zone]), -cmp.Compare(x.Capacity, y.Capacity), cmp.Compare(x.Name, y.Name))
	})
	// A voter is chosen first: they go one at a time, so one left out is a wave more.
	slices.SortStableFunc(order, func(x, y Instance) int {
		switch {
		case x.Voter == y.Voter:
			return 0
		case x.Voter:
			return -1
		}
		return 1
	})
	for _, i := range order {
		if len(names) == most || i.Owner && len(todo) > 1 || i.Voter && voting || i.Busy {
			continue
		}
		if z := zones[i.Zone]; z.spares(i.Capacity, away[i.Zone], gone[i.Zone]) {
			away[i.Zone] += i.Capacity
			gone[i.Zone]++
			voting = voting || i.Voter
			names = append(names, i.Name)
		}
	}
	return names
}
