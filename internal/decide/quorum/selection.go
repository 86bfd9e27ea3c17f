package quorum

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// selection is the state that one decision depends on.
type selection struct {
	config           Config
	members          map[string]Member // by process
	voters, learners []string          // as given
	healthy          []string          // voters that remain
	failed           []string          // voters to replace, the longest unreachable first
	reachableVoters  int
	eligible         []Member // who may vote, voters among them; the oldest first
	targetVoters     int      // number of voters wanted
	distribution     distribution
}

func newSelection(fleet Fleet, config Config) *selection {
	s := &selection{config: config, members: map[string]Member{}, voters: fleet.Voters, learners: fleet.Learners}
	fleetSize := 0
	for _, m := range fleet.Members {
		s.members[m.Process] = m
		if !m.Draining && !m.Replaced { // of any age: to a leader that has just started all members are young
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

// classifyVoters divides the voters into healthy and failed ones.
func (s *selection) classifyVoters() {
	for _, voter := range s.voters {
		m, isKnown := s.members[voter]
		if isKnown && m.UnreachableFor == 0 && !m.Replaced {
			s.reachableVoters++
		}
		if !isKnown || m.UnreachableFor >= s.config.HoldDown || m.Draining || m.Replaced {
			s.failed = append(s.failed, voter)
		} else { // it may be unreachable for a moment
			s.healthy = append(s.healthy, voter)
		}
	}
	slices.SortStableFunc(s.failed, func(a, b string) int {
		return cmp.Compare(s.unreachableFor(b), s.unreachableFor(a))
	})
}

// targetVoters returns the largest of 1, 3 and the maximum that the fleet has members for. Unreachable members count until
// they leave or are forgotten: with fewer voters because one became unreachable, fewer failures could be tolerated just
// when more are likely.
func targetVoters(fleetSize, maxVoters int) int {
	target := 1
	for _, n := range []int{3, maxVoters} {
		if fleetSize >= n {
			target = n
		}
	}
	return target
}

// unreachableFor returns for how long a process has been unreachable; the longest time if it is not even known.
func (s *selection) unreachableFor(process string) time.Duration {
	if m, isKnown := s.members[process]; isKnown {
		return m.UnreachableFor
	}
	return math.MaxInt64
}

func (s *selection) unreachableVoters() (unreachable []string) {
	for _, voter := range s.voters {
		if s.unreachableFor(voter) > 0 {
			unreachable = append(unreachable, voter)
		}
	}
	return unreachable
}

// isGrowthUnsafe reports whether one voter more would leave the others without a quorum, should it fail at once.
func (s *selection) isGrowthUnsafe() bool {
	return len(s.voters) > 1 && s.reachableVoters < Majority(len(s.voters)+1)
}

// isPromotable reports whether a learner could vote now, if the quorum allows one voter more.
func (s *selection) isPromotable(learner string) bool {
	m := s.members[learner]
	return m.UnreachableFor == 0 && m.CaughtUp && s.isNeeded(m)
}

// isNeeded reports whether this member is wanted as an additional voter.
func (s *selection) isNeeded(m Member) bool {
	return len(s.healthy) < s.targetVoters || len(s.voters) <= s.targetVoters && s.improvesDistribution(m)
}
