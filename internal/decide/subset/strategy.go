package subset

import "slices"

// Strategy names an algorithm that chooses subsets, for measurements that compare them. Its value is part of the names of
// the reported figures.
type Strategy string

// The strategies.
const (
	StrategyDeterministic Strategy = "deterministic" // Deterministic by the ranks that AssignRanks gives
	StrategyNameOrder     Strategy = "dense"         // Deterministic by the members' positions in the sorted list of names
	StrategyRendezvous    Strategy = "rendezvous"    // Rendezvous
	StrategyBoundedLoad   Strategy = "bounded"       // BoundedLoad
	StrategyRandom        Strategy = "random"        // Random
)

// Strategies lists all strategies in the order in which measurements print them.
var Strategies = []Strategy{StrategyBoundedLoad, StrategyDeterministic, StrategyNameOrder, StrategyRendezvous, StrategyRandom}

// AssignSubsets returns the subset of each member of a view, chosen by the strategy. An unknown strategy counts as
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

// deterministicSubsets returns the subset that Deterministic chooses for each member.
func deterministicSubsets(ranks Ranks, backends []string, size int) map[string][]string {
	subsets := make(map[string][]string, len(ranks))
	for name, rank := range ranks {
		subsets[name] = Deterministic(backends, rank, size)
	}
	return subsets
}

// nameOrderRanks ranks the members by their position in the sorted list of names.
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

// subsetsByName returns the subset of each member for a choice that depends only on the member's name.
func subsetsByName(claims []Claim, choose func(member string) []string) map[string][]string {
	subsets := make(map[string][]string, len(claims))
	for _, claim := range claims {
		subsets[claim.Name] = choose(claim.Name)
	}
	return subsets
}
