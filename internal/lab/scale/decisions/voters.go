// This file owns the choice of voters: timed, and played through losses at the pace at which the leader asks.

package decisions

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/quorum"
)

// As cmd/thymechute and internal/fleet/consensus have them with a lease of 2 s.
const (
	careEvery     = 250 * time.Millisecond
	voterSettle   = 2 * time.Second
	voterHoldDown = 4 * time.Second
	mostCare      = 30 * time.Second // played after a loss
	quorumDraws   = 200              // orders of joining in which the regions' voters are counted; a tenth in the small run
	targetVoters  = 5
)

var voterBounds = quorum.Config{MaxVoters: targetVoters, MinAge: voterSettle, HoldDown: voterHoldDown}

// choice is a fleet with its voters.
type choice struct {
	l        Layout
	members  []quorum.Member
	voters   []string
	learners []string
}

// newChoice has chosen its voters one by one out of a fleet whose members joined in this order; regions tells whether the
// choice knows them. The program's records name a zone alone.
func newChoice(l Layout, order []int, regions bool) *choice {
	p := &choice{l: l, members: make([]quorum.Member, l.Size)}
	for at, n := range order {
		p.members[n] = quorum.Member{Process: processName(n, 0), Zone: l.zoneName(n), Age: time.Hour + time.Duration(l.Size-at)*time.Second,
			CaughtUp: true}
		if regions {
			p.members[n].Region = fmt.Sprint("r", l.region(n))
		}
	}
	p.voters = []string{p.members[order[0]].Process}
	for range 4 * targetVoters {
		p.ask()
	}
	return p
}

// ask is one of the leader's: at most one change, in force before the next.
func (p *choice) ask() quorum.Change {
	c := quorum.NextChange(quorum.Fleet{Members: p.members, Voters: p.voters, Learners: p.learners}, voterBounds)
	switch c.Kind {
	case quorum.AddLearner:
		p.learners = []string{c.Process}
	case quorum.PromoteVoter:
		p.learners, p.voters = nil, append(p.voters, c.Process)
	case quorum.RemoveServer:
		is := func(x string) bool { return x == c.Process }
		p.learners, p.voters = slices.DeleteFunc(p.learners, is), slices.DeleteFunc(p.voters, is)
	}
	return c
}

// regions counts the voters by region.
func (p *choice) regions() (most int) {
	count := map[int]int{}
	for n, m := range p.members {
		if slices.Contains(p.voters, m.Process) {
			count[p.l.region(n)]++
			most = max(most, count[p.l.region(n)])
		}
	}
	return most
}

func inOrder(n int) (order []int) {
	for k := range n {
		order = append(order, k)
	}
	return order
}

func measureVoters(c *collector, l Layout) error {
	p := newChoice(l, inOrder(l.Size), true)
	if len(p.voters) != targetVoters {
		c.result.Fault("voters: %d of %d chosen among %d", len(p.voters), targetVoters, l.Size)
	}
	p.members[slices.IndexFunc(p.members, func(m quorum.Member) bool { return m.Process == p.voters[4] })].UnreachableFor = time.Minute
	c.timing("voters", "log_leader", l.Size, func(int) { quorum.NextChange(quorum.Fleet{Members: p.members, Voters: p.voters}, voterBounds) })
	c.point("log_membership_entry_bytes", "log_leader", 0, l.Size, float64(membershipEntry(l.Size)))
	return nil
}

// membershipEntry is the bytes of one entry by which a process joins or leaves the log: raft puts all servers into it.
func membershipEntry(size int) int {
	servers := make([]raft.Server, size)
	for n := range servers {
		process := processName(n, 0)
		address := fmt.Sprintf("10.20.%d.%d:7947/%s", n/250, n%250, process)
		servers[n] = raft.Server{Suffrage: raft.Nonvoter, ID: raft.ServerID(process), Address: raft.ServerAddress(address)}
	}
	return len(raft.EncodeConfiguration(raft.Configuration{Servers: servers}))
}

// loseVoters plays each loss that takes the first voter, and counts the orders of joining in which a region has a quorum:
// with regions known to the choice, and with zones alone.
func loseVoters(c *collector, l Layout) error {
	for _, regions := range []bool{true, false} {
		r := chance(c.seed, 0x707e)
		name := "voters_" + l.label()
		if !regions {
			name += "_zones_alone"
		}
		for _, kind := range lossKinds {
			p := newChoice(l, r.Perm(l.Size), regions)
			first := slices.IndexFunc(p.members, func(m quorum.Member) bool { return m.Process == p.voters[0] })
			c.replaced(name+"_"+kind, p, l.lose(kind, first))
		}
		draws, quorums := quorumDraws, 0
		if c.samples == fewSamples {
			draws /= 10
		}
		for range draws {
			if newChoice(l, r.Perm(l.Size), regions).regions() >= quorum.Majority(targetVoters) {
				quorums++
			}
		}
		c.result.Put(name+"_region_with_quorum_part", float64(quorums)/float64(draws))
		if regions && quorums > 0 {
			c.result.Fault("%s: a region has a quorum in %d of %d orders of joining", name, quorums, draws)
		}
	}
	return nil
}

// replaced asks until all voters are heard of again, and says how many changes and how long that took.
func (c *collector) replaced(name string, p *choice, loss Loss) {
	lost, changes, took := 0, 0, time.Duration(0)
	for n := range p.members {
		if loss.takes(n) && slices.Contains(p.voters, p.members[n].Process) {
			lost++
		}
	}
	for now := careEvery; now < mostCare; now += careEvery {
		for n := range p.members {
			if loss.takes(n) {
				p.members[n].UnreachableFor = now
			}
		}
		if p.ask().Kind != quorum.NoChange {
			changes++
			took = now
		}
	}
	c.result.Put(name+"_voters_lost", float64(lost))
	c.result.Put(name+"_changes", float64(changes))
	c.result.Put(name+"_s", took.Seconds())
	quorumLost := 0.0
	if lost >= quorum.Majority(targetVoters) {
		quorumLost = 1
	}
	c.result.Put(name+"_quorum_lost", quorumLost)
}
