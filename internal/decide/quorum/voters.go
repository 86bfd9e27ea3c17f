// Package voters decides who of the fleet votes in the agreed log: three or five members, spread evenly over the regions
// and over as many zones as there are, changed one at a time. It owns that choice and must never do I/O, read a clock, start a goroutine or draw chance.
// Whoever leads the log asks it after each change of the view and each change that has come into force.
//
// A voter is a process, not a name: one that starts cold without its log under a name that has voted is another
// Process here and in the log, and votes only after being chosen anew, or two could be elected in one term.
//
// It keeps no table: what it is given is all that it knows.
package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Member is one process as the leader has it now, those that fell silent included until they are forgotten.
type Member struct {
	Process        string // unique in a life
	Zone           string
	Region         string        // several zones that may be lost together; "" where none is known
	Age            time.Duration // since it joined
	UnreachableFor time.Duration // 0: heard of
	Draining       bool          // it has been told to drain
	CaughtUp       bool          // it has applied what the log held a moment ago
	Replaced       bool          // for certain: another life stands at its address
}

// Config of the choice; the same in all members.
type Config struct {
	MaxVoters int           // 3 or 5
	MinAge    time.Duration // before a member is chosen
	HoldDown  time.Duration // silence before a voter is replaced: a death may be refuted
}

// ChangeKind of a change.
type ChangeKind uint8

// The changes; each is one entry of the log, and the next waits until it is in force.
const (
	NoChange     ChangeKind = iota
	AddLearner              // it follows the log and will vote once it has caught up
	PromoteVoter            // a learner becomes a voter
	RemoveServer            // a voter or a learner is one no more
)

// Change is what to do now, and why, in one line; for None why not.
type Change struct {
	Kind    ChangeKind
	Process string
	Reason  string
}

// Majority of so many voters.
func Majority(voters int) int { return voters/2 + 1 }

// choice is the state that one decision looks at.
type choice struct {
	b                Config
	members          map[string]Member
	voters, learners []string
	good             []string // voters that stay
	bad              []string // to be replaced, the longest silent first
	heard            int      // voters heard of now
	able             []Member // who may vote, voters among them
	want             int
	lie              spread // how the good ones lie
}

// NextChange is the next change, one at a time: pending tells that the last is not in force yet.
func NextChange(members []Member, voters, learners []string, pending bool, b Config) Change {
	if pending {
		return Change{Reason: "a change is under way"}
	}
	c := look(members, voters, learners, b)
	if missing := c.missing(); c.heard < Majority(len(voters)) {
		return Change{Reason: fmt.Sprintf("quorum lost: %d of %d voters heard, expected %d; missed: %s", c.heard, len(voters),
			Majority(len(voters)), strings.Join(missing, ", "))}
	}
	for _, v := range c.bad { // its successor can't follow the log at an address that the log still knows as another's
		if c.members[v].Replaced && c.heard >= Majority(len(voters)-1) {
			return Change{RemoveServer, v, "another life stands at its address"}
		}
	}
	for _, l := range learners {
		if m, known := c.members[l]; !known || m.UnreachableFor >= b.HoldDown || m.Draining {
			return Change{RemoveServer, l, "a learner that is gone"}
		}
	}
	if change, ok := c.promote(); ok {
		return change
	}
	if change, ok := c.drop(); ok {
		return change
	}
	return c.learn()
}

func look(members []Member, voters, learners []string, b Config) choice {
	c := choice{b: b, members: map[string]Member{}, voters: voters, learners: learners}
	size := 0
	for _, m := range members {
		c.members[m.Process] = m
		if !m.Draining && !m.Replaced { // of any age: a leader that has just started knows nobody for long
			size++
		}
		if m.UnreachableFor == 0 && !m.Draining && !m.Replaced && (m.Age >= b.MinAge || slices.Contains(voters, m.Process)) {
			c.able = append(c.able, m)
		}
	}
	slices.SortFunc(c.able, func(x, y Member) int { return cmp.Or(-cmp.Compare(x.Age, y.Age), cmp.Compare(x.Process, y.Process)) })
	for _, v := range voters {
		m, known := c.members[v]
		if known && m.UnreachableFor == 0 && !m.Replaced {
			c.heard++
		}
		switch {
		case !known || m.UnreachableFor >= b.HoldDown || m.Draining || m.Replaced:
			c.bad = append(c.bad, v)
		default: // silent for a moment is no death
			c.good = append(c.good, v)
		}
	}
	slices.SortStableFunc(c.bad, func(x, y string) int {
		return cmp.Compare(c.silence(y), c.silence(x))
	})
	c.lie = c.spread()
	// By how large the fleet is, the silent ones included until they leave or are forgotten: fewer voters because one
	// has fallen silent would bear less just when more is to be borne.
	c.want = 1
	for _, n := range []int{3, b.MaxVoters} {
		if size >= n {
			c.want = n
		}
	}
	return c
}

// silence of one that is not even known any more is the longest.
func (c *choice) silence(process string) time.Duration {
	if m, known := c.members[process]; known {
		return m.UnreachableFor
	}
	return 1 << 62
}

func (c *choice) missing() (out []string) {
	for _, v := range c.voters {
		if c.silence(v) > 0 {
			out = append(out, v)
		}
	}
	return out
}

// promote makes a learner that has caught up a voter, where the grown set has its quorum without it too.
func (c *choice) promote() (Change, bool) {
	for _, l := range c.learners {
		m := c.members[l]
		if m.UnreachableFor > 0 || !m.CaughtUp || !c.needed(m) {
			continue
		}
		if c.thin() {
			continue
		}
		return Change{PromoteVoter, l, fmt.Sprintf("%d of %d wanted voters are good", len(c.good), c.want)}, true
	}
	return Change{}, false
}

// thin tells that one voter more would leave the rest without a quorum, should it fall silent at once.
func (c *choice) thin() bool { return len(c.voters) > 1 && c.heard < Majority(len(c.voters)+1) }

// ready tells whether a learner waits for nothing but room.
func (c *choice) ready() bool {
	return slices.ContainsFunc(c.learners, func(l string) bool {
		m := c.members[l]
		return m.UnreachableFor == 0 && m.CaughtUp && c.needed(m)
	})
}

// drop takes one out where there are more than wanted, or a dead one stands in its successor's way: a bad one first, else
// the youngest of the fullest zone of the fullest region; and never where the smaller set would lack its quorum.
func (c *choice) drop() (Change, bool) {
	if len(c.learners) > 0 && !slices.ContainsFunc(c.learners, func(l string) bool { return c.needed(c.members[l]) }) {
		return Change{RemoveServer, c.learners[0], "a learner that is not needed any more"}, true
	}
	if inTheWay := len(c.bad) > 0 && c.thin() && c.ready(); len(c.voters) <= c.want && !inTheWay || len(c.voters) == 1 {
		return Change{}, false
	}
	who, why := "", "more voters than wanted"
	if len(c.bad) > 0 {
		who, why = c.bad[0], "a voter that is gone, or leaves, has been replaced"
	} else if len(c.good) > c.want {
		s := c.lie
		for _, v := range c.good {
			if m, best := c.members[v], c.members[who]; who == "" || cmp.Or(cmp.Compare(s.regions[m.Region], s.regions[best.Region]),
				cmp.Compare(s.zones[m.Zone], s.zones[best.Zone]), -cmp.Compare(m.Age, best.Age), cmp.Compare(v, who)) > 0 {
				who = v
			}
		}
	}
	if who == "" { // one that is silent, not long enough yet
		return Change{}, false
	}
	left := c.heard
	if c.silence(who) == 0 {
		left--
	}
	if left < Majority(len(c.voters)-1) {
		return Change{}, false
	}
	return Change{RemoveServer, who, why}, true
}

// learn picks the next voter: of the region with the fewest good ones, and there of such a zone, the oldest.
func (c *choice) learn() Change {
	if len(c.learners) > 0 {
		return Change{Reason: c.learners[0] + " has not caught up, or the quorum is too thin for one more"}
	}
	s, who := c.lie, ""
	for _, m := range c.able { // the oldest first
		if slices.Contains(c.voters, m.Process) || !c.needed(m) {
			continue
		}
		if best := c.members[who]; who == "" || cmp.Or(cmp.Compare(s.regions[m.Region], s.regions[best.Region]),
			cmp.Compare(s.zones[m.Zone], s.zones[best.Zone])) < 0 {
			who = m.Process
		}
	}
	switch {
	case who != "":
		return Change{AddLearner, who, fmt.Sprintf("%d of %d wanted voters are good", len(c.good), c.want)}
	case len(c.good) < c.want || len(c.bad) > 0:
		return Change{Reason: fmt.Sprintf("%d of %d wanted voters are good, and no other member may vote", len(c.good), c.want)}
	}
	return Change{Reason: "nothing to change"}
}
