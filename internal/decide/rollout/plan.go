package rollout

import (
	"math"
	"slices"
)

// roundingTolerance keeps a sum that is a whole number but for rounding from counting as more.
const roundingTolerance = 1e-9

// Wave is a set of instances that are drained together, and the capacity left in each zone meanwhile.
type Wave struct {
	Names    []string
	Capacity map[string]float64 // by zone
}

// Plan returns the waves in which all instances of another release would be drained if nothing else happened, each
// back and warmed up before the next. minWaves is a lower bound for any order. It fails with an
// *InsufficientCapacityError if a zone can't spare one of its instances.
func Plan(fleet []Instance, load map[string]float64, release string, limits Limits) (waves []Wave, minWaves int, err error) {
	state, remaining := limits.plannedState(fleet, release)
	zones := limits.zones(state, load)
	if minWaves, err = limits.minWaves(remaining, zones); err != nil {
		return nil, 0, err
	}
	queue := newDrainQueue(remaining, zones)
	for len(queue.remaining) > 0 {
		chosen := queue.nextWave(waveLimits{maxSize: limits.MaxUnavailable})
		waves = append(waves, newWave(chosen, zones))
	}
	return waves, minWaves, nil
}

// plannedState returns the fleet once all instances are warmed up and all migrations have ended, and those to be drained.
func (l Limits) plannedState(fleet []Instance, release string) (state, remaining []Instance) {
	state = slices.Clone(fleet)
	for n := range state {
		i := &state[n]
		if i.IsUnreachable || i.IsDraining {
			continue
		}
		i.Age = l.WarmUpTime
		i.BlocksMigration = false
		if i.Release != release {
			remaining = append(remaining, *i)
		}
	}
	return state, remaining
}

func newWave(chosen []*candidate, zones map[string]*zone) Wave {
	wave := Wave{Names: make([]string, len(chosen)), Capacity: make(map[string]float64, len(zones))}
	for n, c := range chosen {
		wave.Names[n] = c.Name
	}
	for name, z := range zones {
		wave.Capacity[name] = z.available
	}
	for _, c := range inGivenOrder(chosen) {
		wave.Capacity[c.Zone] -= c.Capacity
	}
	return wave
}

// minWaves is the maximum of three lower bounds: all instances by MaxUnavailable, voters one at a time, and each zone by
// what it can spare at the same time.
func (l Limits) minWaves(remaining []Instance, zones map[string]*zone) (int, error) {
	voters, drains := 0, map[string]*zoneDrains{}
	for _, i := range remaining {
		z := zones[i.Zone]
		if !z.canSpare(i.Capacity, 0, 0) {
			return 0, &InsufficientCapacityError{Zone: z.name, Available: z.available, Required: z.required + z.largest, DrainCapacity: i.Capacity}
		}
		if i.IsVoter {
			voters++
		}
		if drains[i.Zone] == nil {
			drains[i.Zone] = &zoneDrains{}
		}
		drains[i.Zone].add(i.Capacity)
	}
	waves := max(voters, ceilDivide(len(remaining), l.MaxUnavailable))
	for name, d := range drains {
		waves = max(waves, d.minWaves(zones[name]))
	}
	return waves, nil
}

// zoneDrains sums up the instances of one zone that are to be drained.
type zoneDrains struct {
	capacity float64
	count    int
	smallest float64
}

func (d *zoneDrains) add(capacity float64) {
	d.capacity += capacity
	d.count++
	if d.smallest == 0 || capacity < d.smallest {
		d.smallest = capacity
	}
}

func (d *zoneDrains) minWaves(z *zone) int {
	byCapacity := int(math.Ceil(d.capacity/z.spare() - roundingTolerance))
	atOnce := min(int(z.spare()/d.smallest+roundingTolerance), z.upCount-1) // if all were as small as the smallest
	return max(byCapacity, ceilDivide(d.count, atOnce))
}

func ceilDivide(n, by int) int { return (n + by - 1) / by }
