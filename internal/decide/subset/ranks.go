package subset

import (
	"cmp"
	"slices"
)

// Claim is the part of a member's gossiped record that its rank depends on.
type Claim struct {
	Name      string // unique in the fleet
	Rank      int    // the rank that the member had in the last view; -1 if none
	JoinEpoch uint64 // when the member joined, in a unit that all members share; ties are ordered by name
}

// Ranks maps the name of each member of a view to its rank. The ranks are 0 to len-1.
type Ranks map[string]int

// AssignRanks computes the ranks of a view. A member keeps the rank that it claims if that is below the number of members
// and no member that joined earlier claims it too. The other members take the lowest free ranks, in the order in which
// they joined. claims may be in any order; if several have the same name only the earliest counts.
func AssignRanks(claims []Claim) Ranks {
	ordered := byJoinOrder(claims)
	count := len(ordered)
	ranks := make(Ranks, count)
	taken := make([]bool, count)
	var unranked []string
	for _, claim := range ordered {
		if claim.Rank < 0 || claim.Rank >= count || taken[claim.Rank] {
			unranked = append(unranked, claim.Name)
			continue
		}
		taken[claim.Rank] = true
		ranks[claim.Name] = claim.Rank
	}
	next := 0
	for _, name := range unranked {
		for taken[next] {
			next++
		}
		taken[next] = true
		ranks[name] = next
	}
	return ranks
}

// byJoinOrder returns the claims ordered from the earliest to the latest join, with only the earliest of each name.
func byJoinOrder(claims []Claim) []Claim {
	ordered := slices.Clone(claims)
	slices.SortStableFunc(ordered, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.JoinEpoch, b.JoinEpoch), cmp.Compare(a.Name, b.Name))
	})
	seen := make(map[string]bool, len(ordered))
	return slices.DeleteFunc(ordered, func(claim Claim) bool {
		duplicate := seen[claim.Name]
		seen[claim.Name] = true
		return duplicate
	})
}

// MembersByRank returns the members' names, ordered by the ranks that AssignRanks gives them.
func MembersByRank(claims []Claim) []string {
	ranks := AssignRanks(claims)
	members := make([]string, len(ranks))
	for name, rank := range ranks {
		members[rank] = name
	}
	return members
}
