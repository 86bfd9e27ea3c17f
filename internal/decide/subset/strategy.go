package subset

import "slices"

// Strategy names a way to choose subsets, for measurements that compare them. Its value is part of the names of the
// reported figures.
type Strategy string

// The strategies.
const (
	StrategyDeterministic Strategy = "deterministic" // Deterministic over the stable ranks of AssignRanks
	StrategyNameOrder     Strategy = "dense"         // Deterministic over the members' positions in the sorted list of names
	StrategyRendezvous    Strategy = "rendezvous"    // Rendezvous
	StrategyBoundedLoad   Strategy = "bounded"       // BoundedLoad, members in the order of their stable ranks
	StrategyRandom        Strategy = "random"        // Random
)

// Strategies lists all strategies in the order in which measurements print them.
var Strategies = []Strategy{StrategyBoundedLoad, StrategyDeterministic, StrategyNameOrder, StrategyRendezvous, StrategyRandom}

// AssignSubsets returns the subset of every member of a view by the strategy; an unknown strategy counts as
// StrategyRandom.
func AssignSubsets(strategy Strategy, claims []Claim, backends []string, size int) map[string][]string {
	switch strategy {
	case StrategyDeterministic:
		return deterministicSubsets(AssignRanks(claims), backends, size)
	case StrategyNameOrder:
		return deterministicSubsets(nameOrderRanks(claims), backends, size)
	case StrategyBoundedLoad:
		return BoundedLoad(claims, backends, size)
	case StrategyRendezvous:
		return subsetsByName(claims, func(member string) []string { return Rendezvous(backends, member, size) })
	default:
		return subsetsByName(claims, func(member string) []string { return Random(backends, member, size) })
	}
}

// deterministicSubsets returns the Deterministic subset of each ranked member.
func deterministicSubsets(ranks Ranks, backends []string, size int) map[string][]string {
	subsets := make(map[string][]string, len(ranks))
	for name, rank := range ranks {
		subsets[name] = Deterministic(backends, rank, size)
	}
	return subsets
}

// nameOrderRanks ranks the members by their positions in the sorted list of names.
func nameOrderRanks(claims []Claim) Ranks {
	names := make([]string, len(claims))
	for i, claim := range claims {
		names[i] = claim.Name
	}
	slices.Sort(names)
	ranks := make(Ranks, len(names))
	for rank, name := range slices.Compact(names) {
		ranks[name] = rank
	}
	return ranks
}

// subsetsByName applies a choice that depends on a member's name alone.
func subsetsByName(claims []Claim, choose func(member string) []string) map[string][]string {
	subsets := make(map[string][]string, len(claims))
	for _, claim := range claims {
		subsets[claim.Name] = choose(claim.Name)
	}
	return subsets
}
