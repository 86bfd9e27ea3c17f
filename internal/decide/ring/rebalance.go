package ring

import (
	"slices"
	"time"
)

// minReliefFraction is the fraction of a slot's load by which its migration must lower the higher load of the two
// backends. A migration with less relief mostly moves the overload from one backend to the other.
const minReliefFraction = 0.5

// RebalancePolicy says when load justifies migrations. Ratios are the load per weight of the most loaded backend,
// relative to the mean.
type RebalancePolicy struct {
	StartRatio    float64       // rebalancing starts above this ratio
	StopRatio     float64       // once started, it continues until the ratio is at most this
	MaxMigrations int           // per call of Rebalance
	FreezeTime    time.Duration // how long calls on a slot must wait while it migrates
	ReliefHorizon time.Duration // how long the relief by a migration is assumed to last
}

// Rebalance returns the next table, with slots migrated from the most to the least loaded backend by load per weight, and
// the migrations. A slot migrates only if that lowers the higher load of the two backends by at least minReliefFraction
// of the slot's load, and by more calls over ReliefHorizon than must wait during FreezeTime. Slot counts stay within the
// bound. If no slot qualifies there are no migrations.
func (t *Table) Rebalance(slotLoad []float64, bound BalanceBound, policy RebalancePolicy) (next *Table, migrations []Migration) {
	next = &Table{Version: t.Version + 1, backends: t.backends, slots: slices.Clone(t.slots), mask: t.mask, equalWeights: t.equalWeights}
	r := newRebalancer(t, slotLoad, policy)
	if r.totalLoad == 0 || len(t.backends) < 2 {
		return next, nil
	}
	threshold := policy.StartRatio
	for len(migrations) < policy.MaxMigrations {
		from, to := r.mostAndLeastLoaded()
		if r.loadRatio(from) <= threshold {
			break
		}
		threshold = policy.StopRatio
		if !r.staysWithinBound(from, to, bound) {
			break
		}
		position, found := r.mostRelievingSlot(from, to)
		if !found {
			break
		}
		slot := r.migrate(position, from, to)
		next.slots[slot] = int16(to)
		migrations = append(migrations, Migration{slot, t.backends[from].Name, t.backends[to].Name})
	}
	return next, migrations
}

// rebalancer holds the intermediate state of one call of Rebalance.
type rebalancer struct {
	table       *Table
	policy      RebalancePolicy
	slotLoad    []float64 // by slot
	load        []float64 // by backend
	slotsOf     [][]int   // by backend
	totalLoad   float64
	totalWeight float64
}

func newRebalancer(t *Table, slotLoad []float64, policy RebalancePolicy) *rebalancer {
	r := &rebalancer{table: t, policy: policy, slotLoad: slotLoad, slotsOf: make([][]int, len(t.backends)), totalWeight: t.totalWeight()}
	r.load, r.totalLoad = t.backendLoad(slotLoad)
	for slot, b := range t.slots {
		if b != unassigned {
			r.slotsOf[b] = append(r.slotsOf[b], slot)
		}
	}
	return r
}

// loadRatio returns a backend's load per weight, relative to the mean of all backends.
func (r *rebalancer) loadRatio(b int) float64 {
	return r.load[b] / r.table.backends[b].Weight / (r.totalLoad / r.totalWeight)
}

func (r *rebalancer) mostAndLeastLoaded() (most, least int) {
	for b := range r.load {
		if r.loadRatio(b) > r.loadRatio(most) {
			most = b
		}
		if r.loadRatio(b) < r.loadRatio(least) {
			least = b
		}
	}
	return most, least
}

// staysWithinBound reports whether the migration of one slot leaves the slot counts of both backends within the bound.
func (r *rebalancer) staysWithinBound(from, to int, bound BalanceBound) bool {
	fair := func(b int) float64 {
		return float64(len(r.table.slots)) * r.table.backends[b].Weight / r.totalWeight
	}
	low, _ := bound.slotRange(fair(from))
	_, high := bound.slotRange(fair(to))
	return len(r.slotsOf[from]) > low && len(r.slotsOf[to]) < high
}

// mostRelievingSlot returns the position in slotsOf[from] of the slot whose migration gives the most relief, among those
// with enough relief to be worth a migration.
func (r *rebalancer) mostRelievingSlot(from, to int) (position int, found bool) {
	position, bestRelief := -1, 0.0
	backends := r.table.backends
	for n, slot := range r.slotsOf[from] {
		load := r.slotLoad[slot]
		relief := min(load, r.load[from]-r.load[to]*backends[from].Weight/backends[to].Weight-load)
		isSufficient := relief >= minReliefFraction*load && relief*r.policy.ReliefHorizon.Seconds() > load*r.policy.FreezeTime.Seconds()
		if relief > bestRelief && isSufficient {
			position, bestRelief = n, relief
		}
	}
	return position, position >= 0
}

// migrate moves the slot at this position in slotsOf[from] to the other backend, and returns it.
func (r *rebalancer) migrate(position, from, to int) (slot int) {
	slot = r.slotsOf[from][position]
	r.slotsOf[from] = slices.Delete(r.slotsOf[from], position, position+1)
	r.slotsOf[to] = append(r.slotsOf[to], slot)
	r.load[from] -= r.slotLoad[slot]
	r.load[to] += r.slotLoad[slot]
	return slot
}

// PeakLoadRatio returns the load per weight of the most loaded backend, relative to the mean, or 0 if there is no load.
func (t *Table) PeakLoadRatio(slotLoad []float64) (peak float64) {
	load, totalLoad := t.backendLoad(slotLoad)
	if totalLoad == 0 {
		return 0
	}
	totalWeight := t.totalWeight()
	for n, b := range t.backends {
		peak = max(peak, load[n]/b.Weight/(totalLoad/totalWeight))
	}
	return peak
}

// backendLoad returns the load of each backend, and of all assigned slots together.
func (t *Table) backendLoad(slotLoad []float64) (load []float64, total float64) {
	load = make([]float64, len(t.backends))
	for slot, b := range t.slots {
		if b != unassigned {
			load[b] += slotLoad[slot]
			total += slotLoad[slot]
		}
	}
	return load, total
}
