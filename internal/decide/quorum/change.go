package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// IsQuorumLost reports whether no change is made because too few voters are reachable.
func (c Change) IsQuorumLost() bool {
	return c.Kind == NoChange && strings.HasPrefix(c.Reason, quorumLostPrefix)
}

// NextChange returns the next change of the voters and learners, or NoChange with the reason why none is made.
func NextChange(fleet Fleet, config Config) Change {
	if fleet.IsChangePending {
		return Change{Reason: "the previous change has not taken effect yet"}
	}
	s := newSelection(fleet, config)
	if s.reachableVoters < Majority(len(s.voters)) {
		return s.quorumLostChange()
	}
	for _, next := range []func() (Change, bool){s.removeReplacedVoter, s.removeFailedLearner, s.promote, s.remove} {
		if change, ok := next(); ok {
			return change
		}
	}
	return s.addLearner()
}

// quorumLostChange returns a NoChange that names the unreachable voters.
func (s *selection) quorumLostChange() Change {
	return Change{Reason: fmt.Sprintf("%s: %d of %d voters reachable, expected %d; unreachable: %s", quorumLostPrefix, s.reachableVoters,
		len(s.voters), Majority(len(s.voters)), strings.Join(s.unreachableVoters(), ", "))}
}

// removeReplacedVoter removes a voter at whose address a later incarnation runs. The later one cannot follow the log
// before, because the log's configuration still assigns the address to the earlier one.
func (s *selection) removeReplacedVoter() (Change, bool) {
	for _, voter := range s.failed {
		if s.members[voter].Replaced && s.reachableVoters >= Majority(len(s.voters)-1) {
			return Change{RemoveServer, voter, "the voter has ended: a later incarnation runs at its address"}, true
		}
	}
	return Change{}, false
}

// removeFailedLearner removes a learner that is unknown, draining, or unreachable for the hold-down time.
func (s *selection) removeFailedLearner() (Change, bool) {
	for _, learner := range s.learners {
		if m, isKnown := s.members[learner]; !isKnown || m.UnreachableFor >= s.config.HoldDown || m.Draining {
			return Change{RemoveServer, learner, "the learner is unknown, unreachable or draining"}, true
		}
	}
	return Change{}, false
}

// promote turns a learner that has caught up into a voter, if the other voters would have a quorum of the larger set.
func (s *selection) promote() (Change, bool) {
	if s.isGrowthUnsafe() {
		return Change{}, false
	}
	for _, learner := range s.learners {
		if s.isPromotable(learner) {
			return Change{PromoteVoter, learner, s.describeHealthyVoters()}, true
		}
	}
	return Change{}, false
}

// remove removes a learner that is no longer needed, or else a voter if the remaining voters keep a quorum.
func (s *selection) remove() (Change, bool) {
	if len(s.learners) > 0 && !slices.ContainsFunc(s.learners, func(l string) bool { return s.isUsefulAsVoter(s.members[l]) }) {
		return Change{RemoveServer, s.learners[0], "the learner is no longer needed"}, true
	}
	mustShrink := len(s.voters) > s.targetVoters || s.isPromotionBlocked()
	if !mustShrink || len(s.voters) == 1 {
		return Change{}, false
	}
	voter, reason := s.removableVoter()
	if voter == "" || s.reachableWithout(voter) < Majority(len(s.voters)-1) {
		return Change{}, false
	}
	return Change{RemoveServer, voter, reason}, true
}

// isPromotionBlocked reports whether a learner that has caught up cannot be promoted because failed voters count towards
// the quorum.
func (s *selection) isPromotionBlocked() bool {
	return len(s.failed) > 0 && s.isGrowthUnsafe() && slices.ContainsFunc(s.learners, s.isPromotable)
}

// removableVoter returns the voter to remove: a failed one if there is any, else a surplus one from the region, and in it the
// zone, with the most healthy voters. It returns no voter if no healthy one is surplus.
func (s *selection) removableVoter() (voter, reason string) {
	if len(s.failed) > 0 {
		return s.failed[0], "the voter is unknown, unreachable, draining or replaced"
	}
	if len(s.healthy) > s.targetVoters {
		voter = slices.MaxFunc(s.healthy, s.compareRemovalOrder)
	}
	return voter, "there are more voters than needed"
}

// compareRemovalOrder orders voters so that the last is removed first: the one whose region has the most voters, then whose
// zone has the most, then the youngest.
func (s *selection) compareRemovalOrder(a, b string) int {
	x, y := s.members[a], s.members[b]
	return cmp.Or(s.distribution.compare(x, y), cmp.Compare(y.Age, x.Age), cmp.Compare(a, b))
}

// reachableWithout returns the number of reachable voters that remain when one voter is removed.
func (s *selection) reachableWithout(voter string) int {
	if s.unreachableFor(voter) == 0 {
		return s.reachableVoters - 1
	}
	return s.reachableVoters
}

// addLearner chooses a member to become the next voter: the oldest one from the region, and in it the zone, with the fewest
// voters.
func (s *selection) addLearner() Change {
	if len(s.learners) > 0 {
		return Change{Reason: s.learners[0] + " has not caught up, or too few voters are reachable to add one"}
	}
	var best Member
	for _, m := range s.eligible {
		if slices.Contains(s.voters, m.Process) || !s.isUsefulAsVoter(m) {
			continue
		}
		if best.Process == "" || s.distribution.compare(m, best) < 0 {
			best = m
		}
	}
	switch {
	case best.Process != "":
		return Change{AddLearner, best.Process, s.describeHealthyVoters()}
	case len(s.healthy) < s.targetVoters || len(s.failed) > 0:
		return Change{Reason: s.describeHealthyVoters() + ", and no other member is eligible"}
	}
	return Change{Reason: "the voters need no change"}
}

// describeHealthyVoters returns the number of healthy voters and the target, for a reason.
func (s *selection) describeHealthyVoters() string {
	return fmt.Sprintf("%d healthy voters, target %d", len(s.healthy), s.targetVoters)
}
