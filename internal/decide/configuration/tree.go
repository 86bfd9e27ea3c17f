// This file owns who asks whom: control machines, then a relay in each zone, then relays under it, then members. It must
// give the same tree in all members whose views agree.

package configuration

import (
	"slices"

	"thymechute/internal/decide/subset"
)

// FanOut is how many members ask one relay, its own heir's duties aside: the bound on what a change costs a relay.
const FanOut = 5

// Sources are whom a member asks, in order. Near are its relay and that relay's heir, or at the top of a zone the
// control machines; Last are the control machines, for when all before are silent.
type Sources struct{ Near, Last []string }

// Tree gives the sources of each member of one zone. Members stand by stable rank as in a heap: the one of rank r asks
// that of rank (r-1)/FanOut, so that a leaving member moves its own children and the one that takes its rank, no other.
// The heir of a relay is the one that it asks itself; that of the zone's first is the second, which then asks a
// control machine. Nobody's source has a higher rank than its own, so no view, however old, closes a ring by itself.
// Control machines stand in rendezvous order, by zone for its first two and by member for all others.
func Tree(zone string, members []subset.Claim, controls []string) map[string]Sources {
	ranks := subset.AssignRanks(members)
	byRank := make([]string, len(ranks))
	for name, r := range ranks {
		byRank[r] = name
	}
	ofZone := subset.Rendezvous(controls, zone, len(controls))
	tree := make(map[string]Sources, len(byRank))
	for r, name := range byRank {
		switch parent := (r - 1) / FanOut; {
		case r == 0:
			tree[name] = Sources{Near: ofZone}
		case r == 1:
			tree[name] = second(byRank[0], ofZone)
		default:
			heir := byRank[1]
			if parent > 0 {
				heir = byRank[(parent-1)/FanOut]
			}
			tree[name] = Sources{
				Near: slices.Compact([]string{byRank[parent], heir}),
				Last: subset.Rendezvous(controls, name, len(controls)),
			}
		}
	}
	return tree
}

// second are the sources of a zone's second member: it looks past the first where that has lost the control machines.
func second(first string, controls []string) Sources {
	if len(controls) == 0 {
		return Sources{Near: []string{first}}
	}
	return Sources{Near: []string{first, controls[0]}, Last: controls[1:]}
}
