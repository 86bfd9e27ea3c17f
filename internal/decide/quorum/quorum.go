// Package quorum decides which members of a fleet are voters of the replicated log: three or five (one in a fleet of one or
// two), spread evenly over the regions and over as many zones as possible. The log's leader calls NextChange whenever the
// membership view has changed or a change has taken effect. Changes are made one at a time, and none that could lose the
// quorum.
//
// A voter is a process, not a member name: a member that restarts without its log is another Process here and in the log,
// and becomes a voter only if it is chosen again. Otherwise two leaders could be elected in one term.
//
// The package does no I/O, reads no clock, starts no goroutine and draws no random numbers. It keeps no state: every
// decision depends only on the arguments. A decision takes time linear in the number of members, except for a sort by age.
package quorum

import "time"

// Member is one process as the leader knows it. An unreachable process remains a member until the membership view
// forgets it.
type Member struct {
	Process        string        // unique to one incarnation
	Zone           string        // zones fail independently, unless they share a region
	Region         string        // group of zones that may fail together; empty if unknown
	Age            time.Duration // time since it joined
	UnreachableFor time.Duration // 0 while it is reachable
	Draining       bool
	CaughtUp       bool // it has applied all entries that the log held a moment ago
	Replaced       bool // the process has certainly ended: a later incarnation runs at its address
}

// canVote reports whether a member may be a voter: it is reachable, not draining and not replaced.
func (m Member) canVote() bool { return m.UnreachableFor == 0 && !m.Draining && !m.Replaced }

// Fleet is the input of one decision: the members and the log's current configuration.
type Fleet struct {
	Members  []Member
	Voters   []string // processes
	Learners []string // processes chosen to become voters
	// IsChangePending reports that the last change has not taken effect yet.
	IsChangePending bool
}

// Config limits which members are chosen and when voters are replaced. It must be the same in all members.
type Config struct {
	MaxVoters int           // 3 or 5
	MinAge    time.Duration // age from which a member may be chosen as a voter
	// HoldDown is how long a voter must be unreachable before it is replaced: a report of its failure may still be refuted.
	HoldDown time.Duration
}

// ChangeKind is the type of a change.
type ChangeKind uint8

// The kinds of changes. Each except NoChange is one entry of the log.
const (
	NoChange     ChangeKind = iota
	AddLearner              // a member becomes a learner, to be promoted once it has caught up
	PromoteVoter            // a learner becomes a voter
	RemoveServer            // a voter or a learner is removed from the configuration
)

// Change is one change of the log's configuration, or NoChange.
type Change struct {
	Kind    ChangeKind
	Process string
	Reason  string // why this change is made, or why none is; one line for operators
}

// quorumLostPrefix begins Change.Reason while the quorum is lost.
const quorumLostPrefix = "quorum lost"

// Majority returns the quorum for a number of voters.
func Majority(voters int) int { return voters/2 + 1 }
