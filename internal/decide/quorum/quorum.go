// Package quorum decides which members of a fleet vote in the replicated log: three or five, spread evenly over the
// regions and over as many zones as there are. The log's leader calls NextChange after each change of the membership view
// and after each change that has come into force; one change is made at a time, and none by which the quorum could be lost.
//
// A voter is a process, not a name: a process that restarted without its log is another Process here and in the log, and
// votes only after it was chosen again. Otherwise two leaders could be elected in one term.
//
// The package does no I/O, reads no clock, starts no goroutine and draws no random numbers. It keeps no state: every
// decision depends on the arguments alone. The time of a decision is linear in the members, but for the sort by age.
package quorum

import "time"

// Member is one process as the leader knows it. Processes that became unreachable are members until they are forgotten.
type Member struct {
	Process        string        // unique to one incarnation
	Zone           string        // zones fail independently, unless they share a region
	Region         string        // zones that may fail together; empty if unknown
	Age            time.Duration // since it joined
	UnreachableFor time.Duration // 0: reachable
	Draining       bool
	CaughtUp       bool // it has applied what the log held a moment ago
	Replaced       bool // it has ended for certain: a later incarnation runs at its address
}

// canVote reports whether a member may become or remain a voter at this moment.
func (m Member) canVote() bool { return m.UnreachableFor == 0 && !m.Draining && !m.Replaced }

// Fleet is what one decision depends on.
type Fleet struct {
	Members  []Member
	Voters   []string // of the log's configuration
	Learners []string // chosen to be promoted
	// IsChangePending says that the last change is not in force yet.
	IsChangePending bool
}

// Config bounds the choice; it must be the same in all members.
type Config struct {
	MaxVoters int           // 3 or 5
	MinAge    time.Duration // of a member before it is chosen
	HoldDown  time.Duration // for which a voter must be unreachable before it is replaced, as a death may be refuted
}

// ChangeKind is the type of a change.
type ChangeKind uint8

// The kinds of changes. Each but NoChange is one entry of the log.
const (
	NoChange     ChangeKind = iota
	AddLearner              // a member follows the log, to be promoted once it has caught up
	PromoteVoter            // a learner becomes a voter
	RemoveServer            // a voter or a learner leaves the configuration
)

// Change is what to do next.
type Change struct {
	Kind    ChangeKind
	Process string
	Reason  string // of the change, or why there is none; one line
}

// quorumLostPrefix begins the reason of NoChange while the quorum is lost.
const quorumLostPrefix = "quorum lost"

// Majority returns the quorum of that many voters.
func Majority(voters int) int { return voters/2 + 1 }
