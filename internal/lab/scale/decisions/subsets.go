// This file owns the subsets: ranks and one member's choice timed, connections opened over the least by each loss.

package decisions

import (
	"slices"

	"thymechute/internal/decide/subset"
)

const subsetSize = 4

// view is a fleet's claims with its services below.
type view struct {
	claims []subset.Claim
	below  []string
}

func (l Layout) view() view {
	v := view{}
	for n := range l.Size {
		v.claims = append(v.claims, subset.Claim{Name: subset.Name("m", n), Rank: n, Since: uint64(n)})
	}
	for _, b := range l.backends() {
		v.below = append(v.below, b.Name)
	}
	return v
}

// settled is the view with each member claiming the rank that the view gives it.
func (v view) settled() view {
	ranks := subset.Rank(v.claims)
	v.claims = slices.Clone(v.claims)
	for n := range v.claims {
		v.claims[n].Rank = ranks[v.claims[n].Name]
	}
	return v
}

func (v view) fleet() map[string][]string {
	return subset.Fleet(subset.WayDeterministic, v.claims, v.below, subsetSize)
}

func measureSubsets(c *collector, l Layout) error {
	v := l.view()
	c.timing("subset_ranks", "member", l.Size, func(int) { subset.Rank(v.claims) })
	c.timing("subset_own", "member", l.Size, func(n int) { subset.Deterministic(v.below, n*l.Size/c.samples, subsetSize) })
	c.point("subset_ranks_heap_bytes", "member", 0, l.Size, heapOf(func() any { return subset.Rank(v.claims) }))
	c.point("subset_spread", "member", 0, l.Size, subset.Spread(v.fleet(), v.below))
	without := v
	without.below = slices.Delete(slices.Clone(v.below), len(v.below)/2, len(v.below)/2+1)
	opened := subset.Opened(v.fleet(), without.fleet())
	least := subset.Least(subsetSize, l.Size, len(without.below), 0, 0, 0, 1)
	c.point("subset_opened_over_least_one_below_gone", "member", 0, l.Size, float64(opened)/float64(least))
	return nil
}

// loseSubsets loses members, then as many of the services below, and takes them back.
func loseSubsets(c *collector, l Layout) error {
	r := chance(c.seed, 0x50b5)
	whole := l.view()
	for _, kind := range lossKinds {
		loss := l.drawn(kind, r)
		name := "subset_" + l.label() + "_" + kind + "_"
		lost := loss.To - loss.From
		rest := view{claims: slices.Delete(slices.Clone(whole.claims), loss.From, loss.To), below: whole.below}.settled()
		c.opened(name+"lost", whole, rest, subset.Least(subsetSize, len(rest.claims), len(rest.below), 0, lost, 0, 0))
		back := view{claims: slices.Clone(rest.claims), below: whole.below}
		for n := loss.From; n < loss.To; n++ { // cold: no rank, and joined last
			back.claims = append(back.claims, subset.Claim{Name: whole.claims[n].Name, Rank: -1, Since: uint64(l.Size + n)})
		}
		back = back.settled()
		c.opened(name+"back", rest, back, subset.Least(subsetSize, l.Size, len(back.below), lost, 0, 0, 0))
		if kind == "region" {
			c.healed(name+"healed", whole, rest, loss)
		}
		backends := Layout{Size: len(whole.below), Zones: l.Zones, Regions: l.Regions}
		gone := backends.drawn(kind, r)
		less := whole
		less.below = slices.Delete(slices.Clone(whole.below), gone.From, gone.To)
		c.opened(name+"below_lost", whole, less, subset.Least(subsetSize, l.Size, len(less.below), 0, 0, 0, gone.To-gone.From))
	}
	return nil
}

// healed: the region cut off settled ranks of its own meanwhile; both sides' claims meet, older first.
func (c *collector) healed(name string, whole, rest view, loss Loss) {
	side := view{claims: slices.Clone(whole.claims[loss.From:loss.To]), below: whole.below}.settled()
	before := rest.fleet()
	for member, s := range side.fleet() {
		before[member] = s
	}
	met := view{claims: append(slices.Clone(rest.claims), side.claims...), below: whole.below}.settled()
	opened := subset.Opened(before, met.fleet())
	c.result.Put(name+"_opened", float64(opened))
	c.result.Put(name+"_opened_over_least", float64(opened)/float64((loss.To-loss.From)*subsetSize))
	c.result.Put(name+"_spread", subset.Spread(met.fleet(), met.below))
}

func (c *collector) opened(name string, before, after view, least int) {
	fleet := after.fleet()
	opened := subset.Opened(before.fleet(), fleet)
	c.result.Put(name+"_opened", float64(opened))
	c.result.Put(name+"_opened_over_least", float64(opened)/float64(least))
	c.result.Put(name+"_spread", subset.Spread(fleet, after.below))
}
