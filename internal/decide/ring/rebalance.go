package ring

import (
	"slices"
	"time"
)

// minReliefOfLoad is the part of a slot's load that its migration must relieve: one that mostly carries the overload
// from one backend to the other is not worth a migration.
const minReliefOfLoad = 0.5

// RebalancePolicy says when load is worth a migration. Ratios are of the most loaded backend to the mean, by weight.
type RebalancePolicy struct {
	StartRatio    float64       // rebalancing starts above this ratio
	StopRatio     float64       // and continues until the ratio is at most this
	MaxMigrations int           // in one plan
	FreezeTime    time.Duration // for which calls on a slot wait while it migrates
	ReliefHorizon time.Duration // for which a migration is assumed to relieve
}

// Rebalance returns the next table with slots migrated from the most to the least loaded backend by weight, and the
// migrations. Each relieves, over the horizon, more calls than wait while it lasts, and at least half of the slot's
// load; slot counts stay within the bound. Without a worthwhile migration there are none.
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
		if !r.mayMigrate(from, to, bound) {
			break
		}
		position, found := r.mostRelieving(from, to)
		if !found {
			break
		}
		slot := r.migrate(position, from, to)
		next.slots[slot] = int16(to)
		migrations = append(migrations, Migration{slot, t.backends[from].Name, t.backends[to].Name})
	}
	return next, migrations
}

// rebalancer holds the intermediate state of one Rebalance.
type rebalancer struct {
	table       *Table
	policy      RebalancePolicy
	slotLoad    []float64
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

// loadRatio is a backend's load by weight, relative to the mean.
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

// mayMigrate reports whether both slot counts stay within the bound.
func (r *rebalancer) mayMigrate(from, to int, bound BalanceBound) bool {
	fair := func(b int) float64 {
		return float64(len(r.table.slots)) * r.table.backends[b].Weight / r.totalWeight
	}
	low, _ := bound.slotRange(fair(from))
	_, high := bound.slotRange(fair(to))
	return len(r.slotsOf[from]) > low && len(r.slotsOf[to]) < high
}

// mostRelieving returns the position among from's slots of the one whose migration relieves most, by enough to pay for the migration.
func (r *rebalancer) mostRelieving(from, to int) (position int, found bool) {
	position, bestRelief := -1, 0.0
	backends := r.table.backends
	for n, slot := range r.slotsOf[from] {
		load := r.slotLoad[slot]
		relief := min(load, r.load[from]-r.load[to]*backends[from].Weight/backends[to].Weight-load)
		isSufficient := relief >= minReliefOfLoad*load && relief*r.policy.ReliefHorizon.Seconds() > load*r.policy.FreezeTime.Seconds()
		if relief > bestRelief && isSufficient {
			position, bestRelief = n, relief
		}
	}
	return position, position >= 0
}

// migrate moves the slot at a position among from's, and returns it.
func (r *rebalancer) migrate(position, from, to int) (slot int) {
	slot = r.slotsOf[from][position]
	r.slotsOf[from] = slices.Delete(r.slotsOf[from], position, position+1)
	r.slotsOf[to] = append(r.slotsOf[to], slot)
	r.load[from] -= r.slotLoad[slot]
	r.load[to] += r.slotLoad[slot]
	return slot
}

// PeakLoadRatio returns the load by weight of the most loaded backend, relative to the mean; 0 without any load.
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

// backendLoad sums slot loads by backend, and over all assigned slots.
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
