package ring

import (
	"cmp"
	"math"
	"slices"
)

// Migration is the change of one slot's owner. From is "" for a slot that was unassigned.
type Migration struct {
	Slot     int
	From, To string
}

// BalanceBound limits how far a backend may deviate from its fair share of slots by weight. Where Slack allows less
// than one slot of deviation, the whole numbers around the fair share are allowed.
type BalanceBound struct {
	Slack float64 // fraction of the fair share, 0 to 1
}

// slotRange returns the fewest and the most slots for a fair share.
func (b BalanceBound) slotRange(fair float64) (low, high int) {
	low = min(int(math.Floor(fair)), int(math.Ceil(fair*(1-b.Slack))))
	high = max(int(math.Ceil(fair)), int(math.Floor(fair*(1+b.Slack))))
	return low, high
}

// MinMigrations returns the fewest migrations that lead from the owned counts to any assignment within low and high.
// A backend over its upper limit must give the excess away, one under its lower limit must get the rest, and free
// slots must be assigned. A migration takes from one and gives to one, so the larger of the two sums is a lower
// bound; Plan reaches it.
func MinMigrations(owned, low, high []int, free int) int {
	give, get := free, 0
	for n, count := range owned {
		give += max(count-high[n], 0)
		get += max(low[n]-count, 0)
	}
	return max(give, get)
}

// Plan returns the next table over these backends, the migrations that lead to it by slot, and the fewest that any
// plan must make. Slots of a removed backend go to their failover targets as far as the bound allows. slotLoad, if not
// nil, is the measured load of each slot: a backend over the mean load gives its most loaded slots away first, one
// under it its least loaded. It fails if the backends are not valid.
func (t *Table) Plan(backends []Backend, bound BalanceBound, slotLoad []float64) (next *Table, migrations []Migration, minimum int, err error) {
	sorted, err := normalizeBackends(backends)
	if err != nil {
		return nil, nil, 0, err
	}
	p := newPlanner(t, sorted, slotLoad)
	failover, wanted := p.failoverTargets()
	targets := p.next.slotTargets(bound, p.owned, wanted)
	minimum = MinMigrations(p.owned, targets.low, targets.high, len(p.orphans))
	unplaced := p.releaseExcess(targets.count)
	unplaced = append(unplaced, p.placeOrphans(failover, targets.count)...)
	p.assign(unplaced, targets.count)
	return p.next, p.migrations(), minimum, nil
}

// planner holds the intermediate state of one Plan.
type planner struct {
	previous *Table
	next     *Table
	newIndex []int16   // by index in the previous table; unassigned for removed backends
	owned    []int     // slots by backend of the next table
	load     []float64 // of these slots
	slotLoad []float64 // nil if not measured
	orphans  []int     // slots without an owner in the next table yet
}

func newPlanner(previous *Table, sorted []Backend, slotLoad []float64) *planner {
	p := &planner{
		previous: previous,
		next: &Table{Version: previous.Version + 1, backends: sorted, slots: make([]int16, len(previous.slots)),
			mask: previous.mask, equalWeights: haveEqualWeights(sorted)},
		newIndex: make([]int16, len(previous.backends)),
		owned:    make([]int, len(sorted)),
		load:     make([]float64, len(sorted)),
		slotLoad: slotLoad,
	}
	for n, b := range previous.backends {
		p.newIndex[n] = unassigned
		if index, found := indexOfBackend(sorted, b.Name); found {
			p.newIndex[n] = int16(index)
		}
	}
	p.keepOwners()
	return p
}

// keepOwners assigns each slot to its previous owner where that remains, and collects the others as orphans.
func (p *planner) keepOwners() {
	slots := p.next.slots
	for slot, previousOwner := range p.previous.slots {
		owner := unassigned
		if previousOwner != unassigned {
			owner = p.newIndex[previousOwner]
		}
		slots[slot] = owner
		if owner == unassigned {
			p.orphans = append(p.orphans, slot)
			continue
		}
		p.owned[owner]++
		if p.slotLoad != nil {
			p.load[owner] += p.slotLoad[slot]
		}
	}
}

// failoverTargets returns the failover target of each orphan, or unassigned, and how many orphans each backend is the
// target of.
func (p *planner) failoverTargets() (failover []int16, wanted []int) {
	failover, wanted = make([]int16, len(p.orphans)), make([]int, len(p.next.backends))
	find := p.previous.failoverFinder(p.newIndex)
	for n, slot := range p.orphans {
		failover[n] = unassigned
		if p.previous.slots[slot] == unassigned {
			continue
		}
		if best, ok := find(slot); ok {
			failover[n] = p.newIndex[best]
			wanted[failover[n]]++
		}
	}
	return failover, wanted
}

// releaseExcess takes from each backend the slots that it owns over its target.
func (p *planner) releaseExcess(target []int) (released []int) {
	meanLoad := 0.0
	for _, load := range p.load {
		meanLoad += load / float64(len(p.load))
	}
	slotsOf := make([][]int, len(p.owned)) // of the backends over their targets
	for slot, b := range p.next.slots {
		if b != unassigned && p.owned[b] > target[b] {
			slotsOf[b] = append(slotsOf[b], slot)
		}
	}
	for b, slots := range slotsOf {
		excess := p.owned[b] - target[b]
		if excess <= 0 {
			continue
		}
		if p.slotLoad != nil {
			order := p.leastLoadedFirst
			if p.load[b] > meanLoad {
				order = p.mostLoadedFirst
			}
			slices.SortStableFunc(slots, order)
		}
		for _, slot := range slots[:excess] {
			p.next.slots[slot] = unassigned
			released = append(released, slot)
		}
		p.owned[b] = target[b]
	}
	return released
}

func (p *planner) leastLoadedFirst(x, y int) int { return cmp.Compare(p.slotLoad[x], p.slotLoad[y]) }
func (p *planner) mostLoadedFirst(x, y int) int  { return cmp.Compare(p.slotLoad[y], p.slotLoad[x]) }

// placeOrphans assigns orphans to their failover targets up to the targets' counts, and returns the rest.
func (p *planner) placeOrphans(failover []int16, target []int) (unplaced []int) {
	for n, slot := range p.orphans {
		owner := failover[n]
		if owner == unassigned || p.owned[owner] >= target[owner] {
			unplaced = append(unplaced, slot)
			continue
		}
		p.next.slots[slot] = owner
		p.owned[owner]++
	}
	return unplaced
}

// assign gives each slot to the first backend by name that is under its target.
func (p *planner) assign(slots, target []int) {
	owner := 0
	for _, slot := range slots {
		for p.owned[owner] >= target[owner] {
			owner++
		}
		p.next.slots[slot] = int16(owner)
		p.owned[owner]++
	}
}

// migrations lists the slots whose owner differs between the two tables.
func (p *planner) migrations() (migrations []Migration) {
	for slot, owner := range p.next.slots {
		from := ""
		if previousOwner := p.previous.slots[slot]; previousOwner != unassigned {
			from = p.previous.backends[previousOwner].Name
		}
		if to := p.next.backends[owner].Name; to != from {
			migrations = append(migrations, Migration{slot, from, to})
		}
	}
	return migrations
}
