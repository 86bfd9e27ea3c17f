package rollout

import (
	"cmp"
	"slices"
)

// minSpareCapacity replaces a zone's spare capacity as a divisor if that is zero or less.
const minSpareCapacity = 1e-9

// candidate is one instance to be drained.
type candidate struct {
	Instance
	fleetPosition int // position in the fleet as given
	queue         *zoneQueue
	isChosen      bool // for the current wave
}

// zoneQueue holds the candidates of one zone in two lists, each sorted by capacity, largest first.
type zoneQueue struct {
	zone           *zone
	spareCapacity  float64
	wavesNeeded    float64 // capacity of the remaining candidates over the spare capacity
	chosenCapacity float64 // in the current wave
	chosenCount    int     // in the current wave
	voters, others []*candidate
}

// drainQueue chooses the instances of one wave after another. It sorts the instances only once, and yet chooses the same
// waves as a full sort before each wave would give. It holds one entry per instance, which is removed when chosen.
type drainQueue struct {
	remaining []*candidate // in fleet order
	zones     []*zoneQueue
}

// newDrainQueue returns a queue of the instances to be drained. zones must contain the zones of all of them.
func newDrainQueue(instances []Instance, zones map[string]*zone) *drainQueue {
	q := &drainQueue{remaining: make([]*candidate, len(instances))}
	all := make([]candidate, len(instances))
	queues := map[string]*zoneQueue{}
	for n, i := range instances {
		queue := queues[i.Zone]
		if queue == nil {
			z := zones[i.Zone]
			queue = &zoneQueue{zone: z, spareCapacity: z.spareCapacity()}
			queues[i.Zone] = queue
			q.zones = append(q.zones, queue)
		}
		c := &all[n]
		*c = candidate{Instance: i, fleetPosition: n, queue: queue}
		q.remaining[n] = c
		if i.IsVoter {
			queue.voters = append(queue.voters, c)
		} else {
			queue.others = append(queue.others, c)
		}
	}
	for _, queue := range q.zones {
		slices.SortFunc(queue.voters, compareByCapacity)
		slices.SortFunc(queue.others, compareByCapacity)
	}
	return q
}

// compareByCapacity orders candidates by capacity, largest first, and those of equal capacity by name.
func compareByCapacity(x, y *candidate) int {
	return cmp.Or(-cmp.Compare(x.Capacity, y.Capacity), cmp.Compare(x.Name, y.Name))
}

// inFleetOrder sorts a wave in place by position in the fleet, and returns it.
func inFleetOrder(wave []*candidate) []*candidate {
	slices.SortFunc(wave, func(x, y *candidate) int { return x.fleetPosition - y.fleetPosition })
	return wave
}

// waveLimits limit the choice of one wave.
type waveLimits struct {
	maxSize            int  // maximum number of instances; 1 or more
	isVoterUnavailable bool // one voter is unavailable already, so no other may be drained
}

// nextWave removes and returns instances that may be drained together. Voters are considered first: they drain one at a
// time, so one that is left out costs another wave. Then follow the zones that need the most waves, and within a zone
// the largest instances, as smaller ones can fill the remaining capacity. The leader is drained last and alone, after it
// has resigned.
func (q *drainQueue) nextWave(limits waveLimits) (wave []*candidate) {
	q.startWave()
	zoneGroups := q.zonesOfEqualNeed()
	for _, candidatesOf := range []func(*zoneQueue) []*candidate{votersOf, othersOf} {
		for _, zones := range zoneGroups {
			if len(wave) >= limits.maxSize {
				break
			}
			mergeByCapacity(zones, candidatesOf, func(c *candidate) bool {
				if q.mayDrain(c, limits) {
					c.choose()
					limits.isVoterUnavailable = limits.isVoterUnavailable || c.IsVoter
					wave = append(wave, c)
				}
				return len(wave) < limits.maxSize
			})
		}
	}
	q.remove(wave)
	return wave
}

// startWave resets the zones, and sorts them by the number of waves that they still need, largest first.
func (q *drainQueue) startWave() {
	for _, zone := range q.zones {
		zone.wavesNeeded = 0
		zone.chosenCapacity = 0
		zone.chosenCount = 0
	}
	for _, c := range q.remaining {
		c.queue.wavesNeeded += c.Capacity / max(c.queue.spareCapacity, minSpareCapacity)
	}
	slices.SortFunc(q.zones, func(x, y *zoneQueue) int { return -cmp.Compare(x.wavesNeeded, y.wavesNeeded) })
}

// zonesOfEqualNeed splits the sorted zones into groups that need the same number of waves.
func (q *drainQueue) zonesOfEqualNeed() (groups [][]*zoneQueue) {
	for from := 0; from < len(q.zones); {
		to := from + 1
		for to < len(q.zones) && q.zones[to].wavesNeeded == q.zones[from].wavesNeeded {
			to++
		}
		groups = append(groups, q.zones[from:to])
		from = to
	}
	return groups
}

func votersOf(z *zoneQueue) []*candidate { return z.voters }
func othersOf(z *zoneQueue) []*candidate { return z.others }

// mergeByCapacity merges the sorted candidates of several zones: it calls visit for each one, in the order of
// compareByCapacity, until visit returns false.
func mergeByCapacity(zones []*zoneQueue, candidatesOf func(*zoneQueue) []*candidate, visit func(*candidate) bool) {
	next := make([]int, len(zones))
	for {
		best := -1
		for n, zone := range zones {
			if next[n] == len(candidatesOf(zone)) {
				continue
			}
			if best < 0 || compareByCapacity(candidatesOf(zone)[next[n]], candidatesOf(zones[best])[next[best]]) < 0 {
				best = n
			}
		}
		if best < 0 {
			return
		}
		c := candidatesOf(zones[best])[next[best]]
		next[best]++
		if !visit(c) {
			return
		}
	}
}

// mayDrain reports whether a candidate may be added to the wave.
func (q *drainQueue) mayDrain(c *candidate, limits waveLimits) bool {
	isLeaderBeforeEnd := c.IsLeader && len(q.remaining) > 1
	if isLeaderBeforeEnd || c.IsVoter && limits.isVoterUnavailable || c.BlocksMigration {
		return false
	}
	return c.queue.zone.canSpare(c.Capacity, c.queue.chosenCapacity, c.queue.chosenCount)
}

// choose adds a candidate to the current wave.
func (c *candidate) choose() {
	c.isChosen = true
	c.queue.chosenCapacity += c.Capacity
	c.queue.chosenCount++
}

// remove removes the instances of a wave from the queue, which keeps the order of the others.
func (q *drainQueue) remove(wave []*candidate) {
	if len(wave) == 0 {
		return
	}
	isChosen := func(c *candidate) bool { return c.isChosen }
	q.remaining = slices.DeleteFunc(q.remaining, isChosen)
	for _, c := range wave {
		c.queue.voters = slices.DeleteFunc(c.queue.voters, isChosen)
		c.queue.others = slices.DeleteFunc(c.queue.others, isChosen)
	}
}
