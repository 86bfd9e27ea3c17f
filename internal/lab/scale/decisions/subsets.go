package decisions

import (
	"slices"
	"strconv"

	"thymechute/internal/decide/subset"
	"thymechute/internal/lab/emulator"
)

const (
	subsetSize       = 4      // backends per member
	subsetLossStream = 0x50b5 // random stream of the losses
	unranked         = -1     // rank claimed by a member that has none yet
)

// subsetView is the members' rank claims and the backends, the input of subset assignment.
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

// withSettledRanks returns the view after each member has claimed the rank that the view assigns to it.
func (v subsetView) withSettledRanks() subsetView {
	v.claims = slices.Clone(v.claims)
	emulator.ClaimAssignedRanks(v.claims)
	return v
}

// subsets returns the subset of each member.
func (v subsetView) subsets() map[string][]string {
	return subset.AssignSubsets(subset.StrategyDeterministic, v.claims, v.backends, subsetSize)
}

// withoutMembers returns the view after a loss of members.
func (v subsetView) withoutMembers(loss Loss) subsetView {
	return subsetView{claims: slices.Delete(slices.Clone(v.claims), loss.From, loss.To), backends: v.backends}.withSettledRanks()
}

// measureSubsets measures the time of the decisions at one size, and the connections opened after the loss of one backend.
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

// measureSubsetLosses measures, for each kind of loss, the loss and return of members and then the loss of backends.
func measureSubsetLosses(c *collector, l Layout) error {
	random := newRandom(c.seed, subsetLossStream)
	full := l.subsetView()
	for _, kind := range lossKinds {
		prefix := "subset_" + l.label() + "_" + string(kind) + "_"
		loss := l.randomLoss(kind, random)
		c.measureMemberLoss(prefix, l, full, loss)
		if kind == lossOfRegion {
			c.measureRegionHeal(prefix+"healed", full, loss)
		}
		backends := Layout{Size: len(full.backends), Zones: l.Zones, Regions: l.Regions}
		c.measureBackendLoss(prefix+"below_lost", full, backends.randomLoss(kind, random))
	}
	return nil
}

// measureMemberLoss measures the loss of members and their return. They rejoin without a rank and with the latest join epochs.
func (c *collector) measureMemberLoss(prefix string, l Layout, full subsetView, loss Loss) {
	lost := loss.To - loss.From
	rest := full.withoutMembers(loss)
	c.measureOpened(prefix+"lost", full, rest, subset.ViewChange{SubsetSize: subsetSize, Members: len(rest.claims),
		Backends: len(rest.backends), MembersLeft: lost})
	rejoined := subsetView{claims: slices.Clone(rest.claims), backends: full.backends}
	for n := loss.From; n < loss.To; n++ {
		rejoined.claims = append(rejoined.claims, subset.Claim{Name: full.claims[n].Name, Rank: unranked, JoinEpoch: uint64(l.Size + n)})
	}
	rejoined = rejoined.withSettledRanks()
	c.measureOpened(prefix+"back", rest, rejoined, subset.ViewChange{SubsetSize: subsetSize, Members: l.Size,
		Backends: len(rejoined.backends), MembersJoined: lost})
}

// measureBackendLoss measures the loss of backends.
func (c *collector) measureBackendLoss(name string, full subsetView, loss Loss) {
	fewer := full
	fewer.backends = slices.Delete(slices.Clone(full.backends), loss.From, loss.To)
	c.measureOpened(name, full, fewer, subset.ViewChange{SubsetSize: subsetSize, Members: len(full.claims),
		Backends: len(fewer.backends), BackendsRemoved: loss.To - loss.From})
}

// measureRegionHeal measures the end of a partition of a region, during which each side settled its own ranks. The claims of both
// sides then conflict; the member with the earlier join epoch wins.
func (c *collector) measureRegionHeal(name string, full subsetView, loss Loss) {
	rest := full.withoutMembers(loss)
	region := subsetView{claims: slices.Clone(full.claims[loss.From:loss.To]), backends: full.backends}.withSettledRanks()
	before := rest.subsets()
	for member, chosen := range region.subsets() {
		before[member] = chosen
	}
	healed := subsetView{claims: slices.Concat(rest.claims, region.claims), backends: full.backends}.withSettledRanks()
	c.addOpenedFigures(name, before, healed, (loss.To-loss.From)*subsetSize)
}

// measureOpened adds the number of connections that a change opens, also relative to the minimum, and the imbalance after it.
func (c *collector) measureOpened(name string, before, after subsetView, change subset.ViewChange) {
	c.addOpenedFigures(name, before.subsets(), after, change.MinOpenedConnections())
}

func (c *collector) addOpenedFigures(name string, before map[string][]string, after subsetView, minimum int) {
	subsets := after.subsets()
	opened := subset.OpenedConnections(before, subsets)
	c.result.SetFigure(name+"_opened", float64(opened))
	c.result.SetFigure(name+"_opened_over_least", float64(opened)/float64(minimum))
	c.result.SetFigure(name+"_spread", subset.LoadImbalance(subsets, after.backends))
}
