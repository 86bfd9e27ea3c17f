package configuration

import (
	"slices"

	"thymechute/internal/decide/subset"
)

// RelayFanOut is how many members poll one relay, besides those for which it is the backup. It bounds what a change costs a
// relay.
const RelayFanOut = 5

// Sources are the processes that a member polls, in order of preference. Primary are its relay and that relay's backup, or the
// control nodes for the top of a zone; Fallback are the control nodes, for when all primary sources are silent.
type Sources struct{ Primary, Fallback []string }

// DistributionTree returns the sources of each member of one zone, by name. Members are ordered by stable rank as in a heap: the one of rank r polls
// that of rank (r-1)/RelayFanOut, so that a leaving member moves only its own children and the member that takes its rank.
// A relay's backup is the one that the relay itself polls; the backup of the zone's first member is the second, which then
// polls a control node. No source has a higher rank than the member that polls it, so that no view, however old, closes a
// cycle by itself. Control nodes are in rendezvous order, by zone for its first two members and by member for all others.
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

// relayAndBackup returns the relay of a rank over 1 and that relay's backup; one name if they are the same.
func relayAndBackup(byRank []string, rank int) []string {
	relay := (rank - 1) / RelayFanOut
	backup := byRank[1]
	if relay > 0 {
		backup = byRank[(relay-1)/RelayFanOut]
	}
	return slices.Compact([]string{byRank[relay], backup})
}

// secondRankSources returns the sources of a zone's second member. They let it bypass the first if that one cannot reach the
// control nodes.
func secondRankSources(first string, controls []string) Sources {
	if len(controls) == 0 {
		return Sources{Primary: []string{first}}
	}
	return Sources{Primary: []string{first, controls[0]}, Fallback: controls[1:]}
}
