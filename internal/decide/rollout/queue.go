package rollout

import (
	"cmp"
	"slices"
)

// minSpare stands in for a zone's spare capacity where that is zero or less.
const minSpare = 1e-9

// candidate is one instance to be drained.
type candidate struct {
	Instance
	position int // among those given
	queue    *zoneQueue
	isChosen bool
}

// zoneQueue holds one zone's candidates, voters apart from the others, largest capacity first.
type zoneQueue struct {
	zone           *zone
	spare          float64
	wavesNeeded    float64 // by the remaining candidates' capacity
	chosenCapacity float64 // in this wave
	chosenCount    int
	voters, others []*candidate
}

// drainQueue chooses wave after wave from instances that are sorted once. Its choice is the same as by sorting all that
// remain for each wave. It holds one entry an instance, removed when chosen.
type drainQueue struct {
	remaining []*candidate // in the given order
	zones     []*zoneQueue
}

// newDrainQueue sorts instances, all of whose zones are known.
func newDrainQueue(instances []Instance, zones map[string]*zone) *drainQueue {
	q := &drainQueue{remaining: make([]*candidate, len(instances))}
	all := make([]candidate, len(instances))
	queues := map[string]*zoneQueue{}
	for n, i := range instances {
		queue := queues[i.Zone]
		if queue == nil {
			z := zones[i.Zone]
			queue = &zoneQueue{zone: z, spare: z.spare()}
			queues[i.Zone] = queue
			q.zones = append(q.zones, queue)
		}
		c := &all[n]
		*c = candidate{Instance: i, position: n, queue: queue}
		q.remaining[n] = c
		if i.IsVoter {
			queue.voters = append(queue.voters, c)
		} else {
			queue.others = append(queue.others, c)
		}
	}
	for _, queue := range q.zones {
		slices.SortFunc(queue.voters, byCapacity)
		slices.SortFunc(queue.others, byCapacity)
	}
	return q
}

// byCapacity orders the largest first, and equals by name.
func byCapacity(x, y *candidate) int {
	return cmp.Or(-cmp.Compare(x.Capacity, y.Capacity), cmp.Compare(x.Name, y.Name))
}

// inGivenOrder sorts a wave by its instances' positions in the given fleet.
func inGivenOrder(wave []*candidate) []*candidate {
	slices.SortFunc(wave, func(x, y *candidate) int { return x.position - y.position })
	return wave
}

// waveLimits bound one wave.
type waveLimits struct {
	maxSize            int  // instances; 1 or more
	isVoterUnavailable bool // no voter may drain: another one is unavailable
}

// nextWave removes and returns instances that may be drained together. Voters come first: they drain one at a time, so one
// left out costs a wave. Then come the zones that need the most waves, and in a zone the largest instances, as smaller
// ones fill the remaining capacity. The leader drains alone at the end, once it has resigned.
func (q *drainQueue) nextWave(limits waveLimits) (wave []*candidate) {
	q.startWave()
	byNeed := q.zonesOfEqualNeed()
	for _, candidatesOf := range []func(*zoneQueue) []*candidate{votersOf, othersOf} {
		for _, zones := range byNeed {
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

// startWave resets the zones, and sorts them by the waves they still need.
func (q *drainQueue) startWave() {
	for _, zone := range q.zones {
		zone.wavesNeeded = 0
		zone.chosenCapacity = 0
		zone.chosenCount = 0
	}
	for _, c := range q.remaining {
		c.queue.wavesNeeded += c.Capacity / max(c.queue.spare, minSpare)
	}
	slices.SortFunc(q.zones, func(x, y *zoneQueue) int { return -cmp.Compare(x.wavesNeeded, y.wavesNeeded) })
}

// zonesOfEqualNeed splits the sorted zones into runs that need the same number of waves.
func (q *drainQueue) zonesOfEqualNeed() (runs [][]*zoneQueue) {
	for from := 0; from < len(q.zones); {
		to := from + 1
		for to < len(q.zones) && q.zones[to].wavesNeeded == q.zones[from].wavesNeeded {
			to++
		}
		runs = append(runs, q.zones[from:to])
		from = to
	}
	return runs
}

func votersOf(z *zoneQueue) []*candidate { return z.voters }
func othersOf(z *zoneQueue) []*candidate { return z.others }

// mergeByCapacity visits the candidates of several zones, the largest first over all of them, until visit returns false.
func mergeByCapacity(zones []*zoneQueue, candidatesOf func(*zoneQueue) []*candidate, visit func(*candidate) bool) {
	next := make([]int, len(zones))
	for {
		best := -1
		for n, zone := range zones {
			if next[n] == len(candidatesOf(zone)) {
				continue
			}
			if best < 0 || byCapacity(candidatesOf(zone)[next[n]], candidatesOf(zones[best])[next[best]]) < 0 {
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

func (c *candidate) choose() {
	c.isChosen = true
	c.queue.chosenCapacity += c.Capacity
	c.queue.chosenCount++
}

// remove takes out a wave, and keeps the others in their order.
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
