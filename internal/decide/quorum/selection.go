package quorum

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// selection holds the input of one decision and what is derived from it.
type selection struct {
	config           Config
	members          map[string]Member // by process
	voters, learners []string          // as in Fleet
	healthy          []string          // voters to keep; they may be unreachable for less than the hold-down time
	failed           []string          // voters to replace, the longest unreachable first
	reachableVoters  int
	eligible         []Member // members that may be voters, including present voters; the oldest first
	targetVoters     int
	distribution     distribution
}

func newSelection(fleet Fleet, config Config) *selection {
	s := &selection{config: config, members: map[string]Member{}, voters: fleet.Voters, learners: fleet.Learners}
	fleetSize := 0
	for _, m := range fleet.Members {
		s.members[m.Process] = m
		if !m.Draining && !m.Replaced { // of any age, as to a leader that has just started all members are young
			fleetSize++
		}
		if m.canVote() && (m.Age >= config.MinAge || slices.Contains(s.voters, m.Process)) {
			s.eligible = append(s.eligible, m)
		}
	}
	slices.SortFunc(s.eligible, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Process, b.Process))
	})
	s.classifyVoters()
	s.distribution = s.newDistribution()
	s.targetVoters = targetVoters(fleetSize, config.MaxVoters)
	return s
}

// classifyVoters divides the voters into healthy and failed ones, and counts the reachable ones.
func (s *selection) classifyVoters() {
	for _, voter := range s.voters {
		m, isKnown := s.members[voter]
		if isKnown && m.UnreachableFor == 0 && !m.Replaced {
			s.reachableVoters++
		}
		if !isKnown || m.UnreachableFor >= s.config.HoldDown || m.Draining || m.Replaced {
			s.failed = append(s.failed, voter)
		} else { // may be unreachable, but for less than HoldDown
			s.healthy = append(s.healthy, voter)
		}
	}
	slices.SortStableFunc(s.failed, func(a, b string) int {
		return cmp.Compare(s.unreachableFor(b), s.unreachableFor(a))
	})
}

// targetVoters returns the largest of 1, 3 and maxVoters that does not exceed the fleet's size. Unreachable members count
// until they leave or are forgotten: if the target dropped when a member becomes unreachable, the log would tolerate fewer
// failures just when more are likely.
func targetVoters(fleetSize, maxVoters int) int {
	target := 1
	for _, n := range []int{3, maxVoters} {
		if fleetSize >= n {
			target = n
		}
	}
	return target
}

// unreachableFor returns how long a process has been unreachable; the longest possible time if it is not a known member.
func (s *selection) unreachableFor(process string) time.Duration {
	if m, isKnown := s.members[process]; isKnown {
		return m.UnreachableFor
	}
	return math.MaxInt64
}

// unreachableVoters returns the voters that are unreachable or not known members.
func (s *selection) unreachableVoters() (unreachable []string) {
	for _, voter := range s.voters {
		if s.unreachableFor(voter) > 0 {
			unreachable = append(unreachable, voter)
		}
	}
	return unreachable
}

// isGrowthUnsafe reports whether adding a voter that fails immediately would lose the quorum.
func (s *selection) isGrowthUnsafe() bool {
	return len(s.voters) > 1 && s.reachableVoters < Majority(len(s.voters)+1)
}

// isPromotable reports whether a learner is reachable, has caught up and would be useful as a voter.
func (s *selection) isPromotable(learner string) bool {
	m := s.members[learner]
	return m.UnreachableFor == 0 && m.CaughtUp && s.isUsefulAsVoter(m)
}

// isUsefulAsVoter reports whether there are too few healthy voters, or whether replacing a voter by this member would
// improve the distribution.
func (s *selection) isUsefulAsVoter(m Member) bool {
	return len(s.healthy) < s.targetVoters || len(s.voters) <= s.targetVoters && s.improvesDistribution(m)
}
