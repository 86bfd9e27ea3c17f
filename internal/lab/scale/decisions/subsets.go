package decisions

import (
	"slices"
	"strconv"

	"thymechute/internal/decide/subset"
	"thymechute/internal/lab/emulator"
)

const (
	subsetSize = 4      // backends per member
	lossStream = 0x50b5 // tells the random sequence of the losses from others of the same seed
	unranked   = -1     // the claim of a member that has no rank yet
)

// subsetView is a fleet's claims and its backends.
type subsetView struct {
	claims   []subset.Claim
	backends []string
}

func (l Layout) subsetView() subsetView {
	v := subsetView{}
	for n := range l.Size {
		v.claims = append(v.claims, subset.Claim{Name: "m" + strconv.Itoa(n), Rank: n, JoinEpoch: uint64(n)})
	}
	for _, backend := range l.backends() {
		v.backends = append(v.backends, backend.Name)
	}
	return v
}

// settled returns the view after each member has claimed the rank that the view gives it.
func (v subsetView) settled() subsetView {
	v.claims = slices.Clone(v.claims)
	emulator.ClaimAssignedRanks(v.claims)
	return v
}

// subsets returns the subset of each member.
func (v subsetView) subsets() map[string][]string {
	return subset.AssignSubsets(subset.StrategyDeterministic, v.claims, v.backends, subsetSize)
}

// without returns the view after a loss of members.
func (v subsetView) without(loss Loss) subsetView {
	return subsetView{claims: slices.Delete(slices.Clone(v.claims), loss.From, loss.To), backends: v.backends}.settled()
}

// measureSubsets times the decisions at one size, and counts what the loss of one backend opens.
func measureSubsets(c *collector, l Layout) error {
	view := l.subsetView()
	c.addTiming("subset_ranks", "member", l.Size, func(int) { subset.AssignRanks(view.claims) })
	c.addTiming("subset_own", "member", l.Size, func(sample int) {
		subset.Deterministic(view.backends, sample*l.Size/c.samples, subsetSize)
	})
	c.addPoint("subset_ranks_heap_bytes", "member", 0, l.Size, meanHeapBytes(func() any { return subset.AssignRanks(view.claims) }))
	c.addPoint("subset_spread", "member", 0, l.Size, subset.LoadImbalance(view.subsets(), view.backends))
	fewer := view
	fewer.backends = slices.Delete(slices.Clone(view.backends), len(view.backends)/2, len(view.backends)/2+1)
	opened := subset.OpenedConnections(view.subsets(), fewer.subsets())
	change := subset.ViewChange{SubsetSize: subsetSize, Members: l.Size, Backends: len(fewer.backends), BackendsRemoved: 1}
	c.addPoint("subset_opened_over_least_one_below_gone", "member", 0, l.Size, float64(opened)/float64(change.MinOpenedConnections()))
	return nil
}

// measureSubsetLosses measures the loss and return of members, and then of backends, for each kind of loss.
func measureSubsetLosses(c *collector, l Layout) error {
	random := newRandom(c.seed, lossStream)
	full := l.subsetView()
	for _, kind := range lossKinds {
		prefix := "subset_" + l.label() + "_" + string(kind) + "_"
		loss := l.randomLoss(kind, random)
		c.loseMembers(prefix, l, full, loss)
		if kind == lossOfRegion {
			c.healRegion(prefix+"healed", full, loss)
		}
		backends := Layout{Size: len(full.backends), Zones: l.Zones, Regions: l.Regions}
		c.loseBackends(prefix+"below_lost", full, backends.randomLoss(kind, random))
	}
	return nil
}

// loseMembers loses members, which then join again without a rank, after all others.
func (c *collector) loseMembers(prefix string, l Layout, full subsetView, loss Loss) {
	lost := loss.To - loss.From
	rest := full.without(loss)
	c.opened(prefix+"lost", full, rest, subset.ViewChange{SubsetSize: subsetSize, Members: len(rest.claims),
		Backends: len(rest.backends), MembersLeft: lost})
	rejoined := subsetView{claims: slices.Clone(rest.claims), backends: full.backends}
	for n := loss.From; n < loss.To; n++ {
		rejoined.claims = append(rejoined.claims, subset.Claim{Name: full.claims[n].Name, Rank: unranked, JoinEpoch: uint64(l.Size + n)})
	}
	rejoined = rejoined.settled()
	c.opened(prefix+"back", rest, rejoined, subset.ViewChange{SubsetSize: subsetSize, Members: l.Size,
		Backends: len(rejoined.backends), MembersJoined: lost})
}

// loseBackends loses backends.
func (c *collector) loseBackends(name string, full subsetView, loss Loss) {
	fewer := full
	fewer.backends = slices.Delete(slices.Clone(full.backends), loss.From, loss.To)
	c.opened(name, full, fewer, subset.ViewChange{SubsetSize: subsetSize, Members: len(full.claims),
		Backends: len(fewer.backends), BackendsRemoved: loss.To - loss.From})
}

// healRegion reunites a region that was partitioned and settled ranks of its own with the rest; the claims of both sides
// meet, the earlier joined first.
func (c *collector) healRegion(name string, full subsetView, loss Loss) {
	rest := full.without(loss)
	region := subsetView{claims: slices.Clone(full.claims[loss.From:loss.To]), backends: full.backends}.settled()
	before := rest.subsets()
	for member, chosen := range region.subsets() {
		before[member] = chosen
	}
	healed := subsetView{claims: slices.Concat(rest.claims, region.claims), backends: full.backends}.settled()
	c.putOpened(name, before, healed, (loss.To-loss.From)*subsetSize)
}

// opened reports what a change opens, over the minimum, and the imbalance after it.
func (c *collector) opened(name string, before, after subsetView, change subset.ViewChange) {
	c.putOpened(name, before.subsets(), after, change.MinOpenedConnections())
}

func (c *collector) putOpened(name string, before map[string][]string, after subsetView, minimum int) {
	subsets := after.subsets()
	opened := subset.OpenedConnections(before, subsets)
	c.result.SetFigure(name+"_opened", float64(opened))
	c.result.SetFigure(name+"_opened_over_least", float64(opened)/float64(minimum))
	c.result.SetFigure(name+"_spread", subset.LoadImbalance(subsets, after.backends))
}
