package configuration

import (
	"slices"

	"thymechute/internal/decide/subset"
)

// RelayFanOut is the number of members that poll one relay, not counting those for which it is the backup. It bounds the cost of
// a change for a relay.
const RelayFanOut = 5

// Sources lists the processes that a member may poll, in order of preference. Primary holds its relay and that relay's backup,
// or the control nodes at the top of a zone. Fallback holds the control nodes, for use when all primary sources are silent.
type Sources struct{ Primary, Fallback []string }

// DistributionTree returns the sources of each member of one zone, by member name. Members are arranged by their stable ranks as
// in a heap: the member of rank r polls the one of rank (r-1)/RelayFanOut, so that a member that leaves affects only its own
// children and the member that takes over its rank. The backup of a relay is the relay's own source; the backup of the zone's
// first member is the second member, which polls a control node in that case. No relay of a member has a higher rank than the
// member, so that no single view of the members, however outdated, contains a cycle. Control nodes are in rendezvous order: by the
// name of the zone for its first two members, by the name of the member for all others.
func DistributionTree(zone string, members []subset.Claim, controls []string) map[string]Sources {
	byRank := subset.MembersByRank(members)
	controlsOfZone := subset.Rendezvous(controls, zone, len(controls))
	tree := make(map[string]Sources, len(byRank))
	for rank, name := range byRank {
		switch rank {
		case 0:
			tree[name] = Sources{Primary: controlsOfZone}
		case 1:
			tree[name] = secondRankSources(byRank[0], controlsOfZone)
		default:
			tree[name] = Sources{
				Primary:  relayAndBackup(byRank, rank),
				Fallback: subset.Rendezvous(controls, name, len(controls)),
			}
		}
	}
	return tree
}

// relayAndBackup returns the relay of the member with a rank above 1, and that relay's backup; one name if they are the same.
func relayAndBackup(byRank []string, rank int) []string {
	relay := (rank - 1) / RelayFanOut
	backup := byRank[1]
	if relay > 0 {
		backup = byRank[(relay-1)/RelayFanOut]
	}
	return slices.Compact([]string{byRank[relay], backup})
}

// secondRankSources returns the sources of a zone's second member. The control node among its primary sources lets it bypass the
// first member if that one cannot reach the control nodes.
func secondRankSources(first string, controls []string) Sources {
	if len(controls) == 0 {
		return Sources{Primary: []string{first}}
	}
	return Sources{Primary: []string{first, controls[0]}, Fallback: controls[1:]}
}
