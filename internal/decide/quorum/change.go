package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// IsQuorumLost reports whether there is no change because too few voters are reachable.
func (c Change) IsQuorumLost() bool {
	return c.Kind == NoChange && strings.HasPrefix(c.Reason, quorumLostPrefix)
}

// NextChange returns the next change of the voters, or NoChange.
func NextChange(fleet Fleet, config Config) Change {
	if fleet.IsChangePending {
		return Change{Reason: "a change is under way"}
	}
	s := newSelection(fleet, config)
	if s.reachableVoters < Majority(len(s.voters)) {
		return s.quorumLost()
	}
	for _, next := range []func() (Change, bool){s.removeReplacedVoter, s.removeGoneLearner, s.promote, s.remove} {
		if change, ok := next(); ok {
			return change
		}
	}
	return s.addLearner()
}

func (s *selection) quorumLost() Change {
	return Change{Reason: fmt.Sprintf("%s: %d of %d voters heard, expected %d; missed: %s", quorumLostPrefix, s.reachableVoters,
		len(s.voters), Majority(len(s.voters)), strings.Join(s.unreachableVoters(), ", "))}
}

// removeReplacedVoter removes a voter whose successor runs at its address. The successor cannot follow the log before: the
// log knows that address as its predecessor's.
func (s *selection) removeReplacedVoter() (Change, bool) {
	for _, voter := range s.failed {
		if s.members[voter].Replaced && s.reachableVoters >= Majority(len(s.voters)-1) {
			return Change{RemoveServer, voter, "another incarnation runs at its address"}, true
		}
	}
	return Change{}, false
}

func (s *selection) removeGoneLearner() (Change, bool) {
	for _, learner := range s.learners {
		if m, isKnown := s.members[learner]; !isKnown || m.UnreachableFor >= s.config.HoldDown || m.Draining {
			return Change{RemoveServer, learner, "a learner that is gone"}, true
		}
	}
	return Change{}, false
}

// promote makes a learner that has caught up a voter, if the larger set has its quorum without it too.
func (s *selection) promote() (Change, bool) {
	if s.isGrowthUnsafe() {
		return Change{}, false
	}
	for _, learner := range s.learners {
		if s.isPromotable(learner) {
			return Change{PromoteVoter, learner, s.healthyCount()}, true
		}
	}
	return Change{}, false
}

// remove removes a server that is not needed, if the smaller set has its quorum: a learner first, then a voter.
func (s *selection) remove() (Change, bool) {
	if len(s.learners) > 0 && !slices.ContainsFunc(s.learners, func(l string) bool { return s.isNeeded(s.members[l]) }) {
		return Change{RemoveServer, s.learners[0], "a learner that is not needed any more"}, true
	}
	hasTooMany := len(s.voters) > s.targetVoters || s.isBlockedByFailed()
	if !hasTooMany || len(s.voters) == 1 {
		return Change{}, false
	}
	voter, reason := s.removableVoter()
	if voter == "" || s.reachableWithout(voter) < Majority(len(s.voters)-1) {
		return Change{}, false
	}
	return Change{RemoveServer, voter, reason}, true
}

// isBlockedByFailed reports whether a learner cannot be promoted because a failed voter counts for the quorum.
func (s *selection) isBlockedByFailed() bool {
	return len(s.failed) > 0 && s.isGrowthUnsafe() && slices.ContainsFunc(s.learners, s.isPromotable)
}

// removableVoter returns the voter to remove: a failed one first, else one of the fullest zone of the fullest region. It
// returns no voter if the surplus one is unreachable, but not for long enough yet.
func (s *selection) removableVoter() (voter, reason string) {
	if len(s.failed) > 0 {
		return s.failed[0], "a voter that is gone, or leaves, has been replaced"
	}
	if len(s.healthy) > s.targetVoters {
		voter = slices.MaxFunc(s.healthy, s.compareRemoval)
	}
	return voter, "more voters than wanted"
}

// compareRemoval orders voters by how soon they are removed: the last by the voters of their region, then of their zone,
// then the youngest.
func (s *selection) compareRemoval(a, b string) int {
	x, y := s.members[a], s.members[b]
	return cmp.Or(s.distribution.compare(x, y), cmp.Compare(y.Age, x.Age), cmp.Compare(a, b))
}

// reachableWithout returns the number of reachable voters once one is removed.
func (s *selection) reachableWithout(voter string) int {
	if s.unreachableFor(voter) == 0 {
		return s.reachableVoters - 1
	}
	return s.reachableVoters
}

// addLearner chooses the next voter: the oldest of the least used zone of the least used region.
func (s *selection) addLearner() Change {
	if len(s.learners) > 0 {
		return Change{Reason: s.learners[0] + " has not caught up, or the quorum is too thin for one more"}
	}
	var best Member
	for _, m := range s.eligible {
		if slices.Contains(s.voters, m.Process) || !s.isNeeded(m) {
			continue
		}
		if best.Process == "" || s.distribution.compare(m, best) < 0 {
			best = m
		}
	}
	switch {
	case best.Process != "":
		return Change{AddLearner, best.Process, s.healthyCount()}
	case len(s.healthy) < s.targetVoters || len(s.failed) > 0:
		return Change{Reason: s.healthyCount() + ", and no other member may vote"}
	}
	return Change{Reason: "nothing to change"}
}

func (s *selection) healthyCount() string {
	return fmt.Sprintf("%d of %d wanted voters are good", len(s.healthy), s.targetVoters)
}
