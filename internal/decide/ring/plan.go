package ring

import (
	"cmp"
	"math"
	"slices"
)

// Migration is a change of one slot's owner. From is empty if the slot was unassigned.
type Migration struct {
	Slot     int
	From, To string
}

// BalanceBound limits how far a backend's number of slots may deviate from its fair share by weight. The fair share
// rounded down and rounded up is always allowed, even if Slack is less than one slot.
type BalanceBound struct {
	Slack float64 // fraction of the fair share, 0 to 1
}

// slotRange returns the fewest and the most slots that a backend with this fair share may own.
func (b BalanceBound) slotRange(fair float64) (low, high int) {
	low = min(int(math.Floor(fair)), int(math.Ceil(fair*(1-b.Slack))))
	high = max(int(math.Ceil(fair)), int(math.Floor(fair*(1+b.Slack))))
	return low, high
}

// MinMigrations returns the fewest migrations from the owned counts and the free (unassigned) slots to any assignment
// within low and high. A backend over its upper limit must give away the excess, a backend under its lower limit must
// get what it lacks, and free slots must be assigned. One migration removes a slot from one place and adds it to
// another, so the larger of the two sums is a lower bound, and Plan reaches it.
func MinMigrations(owned, low, high []int, free int) int {
	give, get := free, 0
	for n, count := range owned {
		give += max(count-high[n], 0)
		get += max(low[n]-count, 0)
	}
	return max(give, get)
}

// Plan returns the next table, which assigns all slots to these backends, the migrations that lead to it, ordered by
// slot, and the minimum number of migrations that any such plan needs. Slots of a removed backend go to their failover
// targets as far as the bound allows. slotLoad, if not nil, is the measured load of each slot: a backend with more than
// the mean load gives away its most loaded slots first, the others their least loaded. Plan fails with a *ValueError if
// the backends are not valid.
func (t *Table) Plan(backends []Backend, bound BalanceBound, slotLoad []float64) (next *Table, migrations []Migration, minimum int, err error) {
	sorted, err := normalizeBackends(backends)
	if err != nil {
		return nil, nil, 0, err
	}
	p := newPlanner(t, sorted, slotLoad)
	failover, wanted := p.failoverTargets()
	targets := p.next.computeSlotTargets(bound, p.owned, wanted)
	minimum = MinMigrations(p.owned, targets.low, targets.high, len(p.orphans))
	unplaced := p.releaseExcess(targets.count)
	unplaced = append(unplaced, p.placeOrphans(failover, targets.count)...)
	p.assign(unplaced, targets.count)
	return p.next, p.migrations(), minimum, nil
}

// planner holds the intermediate state of one call of Plan.
type planner struct {
	previous *Table
	next     *Table
	newIndex []int16   // index in the next table by index in the previous one; unassigned for removed backends
	owned    []int     // number of slots by backend of the next table
	load     []float64 // total load of the kept slots, by backend of the next table
	slotLoad []float64 // by slot; nil if not measured
	orphans  []int     // slots whose previous owner is removed, or that had none
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

// keepOwners assigns each slot to its previous owner if that remains, and collects the other slots as orphans.
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

// failoverTargets returns the failover target of each orphan (unassigned if it has none), and the number of orphans that
// each backend is the target of.
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

// releaseExcess unassigns, for each backend, as many slots as it owns over its target, and returns them.
func (p *planner) releaseExcess(target []int) (released []int) {
	meanLoad := 0.0
	for _, load := range p.load {
		meanLoad += load / float64(len(p.load))
	}
	slotsOf := make([][]int, len(p.owned)) // by backend, only of those over their target
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

// placeOrphans assigns each orphan to its failover target if that is still under its target count, and returns the rest.
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

// assign gives each slot to the first backend by name that is under its target count.
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

// migrations returns the changes of owner from the previous to the next table, ordered by slot.
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
