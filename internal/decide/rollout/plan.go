package rollout

import (
	"math"
	"slices"
)

// roundingTolerance absorbs rounding errors, so that a quotient that is mathematically a whole number is not rounded to
// the wrong one.
const roundingTolerance = 1e-9

// Wave is a set of instances that are drained together, and the capacity that remains in each zone meanwhile.
type Wave struct {
	Names    []string
	Capacity map[string]float64 // by zone, in work items per second
}

// Plan returns the waves in which all instances of another release would be drained if nothing else happened and each wave
// was back and warmed up before the next. minWaves is a lower bound on the number of waves in any order. The error is an
// *InsufficientCapacityError if a zone cannot spare one of its instances.
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

// plannedState returns the fleet as it will be when all available instances are warmed up and no migration waits for one
// of them, and the instances to be drained.
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

// newWave returns the Wave of the chosen instances, named in the order of choice. It sorts the argument in fleet order.
func newWave(chosen []*candidate, zones map[string]*zone) Wave {
	wave := Wave{Names: make([]string, len(chosen)), Capacity: make(map[string]float64, len(zones))}
	for n, c := range chosen {
		wave.Names[n] = c.Name
	}
	for name, z := range zones {
		wave.Capacity[name] = z.availableCapacity
	}
	for _, c := range inFleetOrder(chosen) {
		wave.Capacity[c.Zone] -= c.Capacity
	}
	return wave
}

// minWaves returns the largest of three lower bounds on the number of waves: all instances at MaxUnavailable per wave, all
// voters at one per wave, and the instances of each zone at what the zone can spare per wave.
func (l Limits) minWaves(remaining []Instance, zones map[string]*zone) (int, error) {
	voters, drains := 0, map[string]*zoneDrains{}
	for _, i := range remaining {
		z := zones[i.Zone]
		if !z.canSpare(i.Capacity, 0, 0) {
			return 0, &InsufficientCapacityError{Zone: z.name, Available: z.availableCapacity,
				Required: z.requiredCapacity + z.largestCapacity, DrainCapacity: i.Capacity}
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

// zoneDrains sums up the instances to be drained in one zone.
type zoneDrains struct {
	capacity         float64
	count            int
	smallestCapacity float64 // of one instance
}

func (d *zoneDrains) add(capacity float64) {
	d.capacity += capacity
	d.count++
	if d.smallestCapacity == 0 || capacity < d.smallestCapacity {
		d.smallestCapacity = capacity
	}
}

// minWaves returns a lower bound on the number of waves for one zone, by capacity and by number of instances.
func (d *zoneDrains) minWaves(z *zone) int {
	byCapacity := int(math.Ceil(d.capacity/z.spareCapacity() - roundingTolerance))
	// Counts every instance as the smallest one, so that no wave can hold more.
	maxPerWave := min(int(z.spareCapacity()/d.smallestCapacity+roundingTolerance), z.availableCount-1)
	return max(byCapacity, ceilDivide(d.count, maxPerWave))
}

func ceilDivide(n, by int) int { return (n + by - 1) / by }
