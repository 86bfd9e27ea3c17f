package decisions

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/quorum"
)

const (
	voterChangeInterval = 250 * time.Millisecond // as in internal/fleet/consensus
	maxReplacementTime  = 30 * time.Second       // emulated time after a loss
	targetVoters        = 5
	joinOrders          = 200 // random join orders in which the voters of each region are counted; a tenth as many in a small run
	votersSeed          = 0x707e
)

// voterConfig is the configuration that cmd/thymechute uses with leases of 2 s.
var voterConfig = quorum.Config{MaxVoters: targetVoters, MinAge: 2 * time.Second, HoldDown: 4 * time.Second}

// regionKnowledge is whether members publish their regions.
type regionKnowledge bool

const (
	regionsKnown   regionKnowledge = true
	regionsUnknown regionKnowledge = false
)

// voterFleet is a fleet whose voters are changed step by step.
type voterFleet struct {
	quorum.Fleet
	layout Layout
}

// newVoterFleet returns a fleet whose members joined in the given order, with its voters already chosen.
func newVoterFleet(l Layout, joinOrder []int, knowledge regionKnowledge) *voterFleet {
	f := &voterFleet{layout: l, Fleet: quorum.Fleet{Members: make([]quorum.Member, l.Size)}}
	for position, n := range joinOrder {
		age := time.Hour + time.Duration(l.Size-position)*time.Second
		f.Members[n] = quorum.Member{Process: processName(n, 0), Zone: l.zoneName(n), Age: age, CaughtUp: true}
		if knowledge == regionsKnown {
			f.Members[n].Region = fmt.Sprint("r", l.region(n))
		}
	}
	f.Voters = []string{f.Members[joinOrder[0]].Process}
	for range 4 * targetVoters {
		f.change()
	}
	return f
}

// change applies and returns the next change of the voters, quorum.NoChange if there is none.
func (f *voterFleet) change() quorum.Change {
	c := quorum.NextChange(f.Fleet, voterConfig)
	switch c.Kind {
	case quorum.AddLearner:
		f.Learners = []string{c.Process}
	case quorum.PromoteVoter:
		f.Learners, f.Voters = nil, append(f.Voters, c.Process)
	case quorum.RemoveServer:
		isRemoved := func(process string) bool { return process == c.Process }
		f.Learners, f.Voters = slices.DeleteFunc(f.Learners, isRemoved), slices.DeleteFunc(f.Voters, isRemoved)
	}
	return c
}

// maxVotersPerRegion returns the largest number of voters in one region.
func (f *voterFleet) maxVotersPerRegion() (most int) {
	voters := map[int]int{}
	for n, m := range f.Members {
		if slices.Contains(f.Voters, m.Process) {
			region := f.layout.region(n)
			voters[region]++
			most = max(most, voters[region])
		}
	}
	return most
}

// memberIndex returns the index of a process in Members.
func (f *voterFleet) memberIndex(process string) int {
	return slices.IndexFunc(f.Members, func(m quorum.Member) bool { return m.Process == process })
}

func ascending(n int) (numbers []int) {
	for k := range n {
		numbers = append(numbers, k)
	}
	return numbers
}

// measureVoters measures the time of a decision while one voter is unreachable, and the size of a membership entry.
func measureVoters(c *collector, l Layout) error {
	f := newVoterFleet(l, ascending(l.Size), regionsKnown)
	if len(f.Voters) != targetVoters {
		c.result.AddFault("voters: found %d, expected %d in a fleet of %d members", len(f.Voters), targetVoters, l.Size)
	}
	last := f.Voters[targetVoters-1]
	f.Members[f.memberIndex(last)].UnreachableFor = time.Minute
	f.Learners = nil
	c.addTiming("voters", "log_leader", l.Size, func(int) { quorum.NextChange(f.Fleet, voterConfig) })
	c.addPoint("log_membership_entry_bytes", "log_leader", 0, l.Size, float64(membershipEntryBytes(l.Size)))
	return nil
}

// membershipEntryBytes returns the size of an entry by which a process joins or leaves the log. It contains the configuration of
// all servers.
func membershipEntryBytes(size int) int {
	servers := make([]raft.Server, size)
	for n := range servers {
		process := processName(n, 0)
		address := fmt.Sprintf("10.20.%d.%d:7947/%s", n/250, n%250, process)
		servers[n] = raft.Server{Suffrage: raft.Nonvoter, ID: raft.ServerID(process), Address: raft.ServerAddress(address)}
	}
	return len(raft.EncodeConfiguration(raft.Configuration{Servers: servers}))
}

// measureVoterLosses measures each kind of loss that contains the first voter, and counts the join orders in which one region has a
// quorum of the voters. It does so with the members' regions known, and with only their zones known.
func measureVoterLosses(c *collector, l Layout) error {
	for _, knowledge := range []regionKnowledge{regionsKnown, regionsUnknown} {
		r := newRandom(c.seed, votersSeed)
		name := "voters_" + l.label()
		if knowledge == regionsUnknown {
			name += "_zones_alone"
		}
		for _, kind := range lossKinds {
			f := newVoterFleet(l, r.Perm(l.Size), knowledge)
			c.measureReplacement(name+"_"+string(kind), f, l.lossAround(kind, f.memberIndex(f.Voters[0])))
		}
		orders, withQuorum := joinOrders, 0
		if c.samples == smallSamples {
			orders /= 10
		}
		for range orders {
			f := newVoterFleet(l, r.Perm(l.Size), knowledge)
			if f.maxVotersPerRegion() >= quorum.Majority(targetVoters) {
				withQuorum++
			}
		}
		c.result.SetFigure(name+"_region_with_quorum_part", float64(withQuorum)/float64(orders))
		if knowledge == regionsKnown && withQuorum > 0 {
			c.result.AddFault("%s: one region has a quorum of the voters in %d of %d join orders, expected 0", name, withQuorum, orders)
		}
	}
	return nil
}

// measureReplacement changes voters for maxReplacementTime after a loss, and measures the number of changes and the time of the
// last one.
func (c *collector) measureReplacement(name string, f *voterFleet, loss Loss) {
	lost, changes, took := 0, 0, time.Duration(0)
	for n, m := range f.Members {
		if loss.contains(n) && slices.Contains(f.Voters, m.Process) {
			lost++
		}
	}
	for now := voterChangeInterval; now < maxReplacementTime; now += voterChangeInterval {
		for n := range f.Members {
			if loss.contains(n) {
				f.Members[n].UnreachableFor = now
			}
		}
		if f.change().Kind != quorum.NoChange {
			changes++
			took = now
		}
	}
	c.result.SetFigure(name+"_voters_lost", float64(lost))
	c.result.SetFigure(name+"_changes", float64(changes))
	c.result.SetFigure(name+"_s", took.Seconds())
	quorumLost := 0.0
	if lost >= quorum.Majority(targetVoters) {
		quorumLost = 1
	}
	c.result.SetFigure(name+"_quorum_lost", quorumLost)
}
