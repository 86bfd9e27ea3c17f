package consensus_test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/testutil"
	"thymechute/internal/testutil/member"
)

const (
	votingMembers = 5
	zoneCount     = 3
	ringDuty      = "ring"

	minorityPartition = "in a minority" // name of the fault that leaves the holder in a minority
)

// logCluster is a cluster of members that replicate a log, each reached through its proxies.
type logCluster struct {
	*testutil.Cluster[memberEvent]
	t *testing.T
}

// startLogCluster starts five members and waits until all of them vote.
func startLogCluster(t *testing.T) *logCluster {
	c := &logCluster{testutil.NewCluster(t, 6, member.PortCount, func(e *memberEvent, name string) { e.member = name }), t}
	t.Cleanup(c.logOnFailure)
	for n := range votingMembers {
		environment := []string{fmt.Sprintf("%s=z%d", zoneVariable, n%zoneCount)}
		if n == 0 {
			environment = append(environment, member.BootstrapVariable+"=1")
		}
		if c.Start(fmt.Sprint("m", n), environment...); n == 0 {
			c.WaitFor("first leader", 0, isLeadership)
		}
	}
	c.WaitFor("five voters", 0, func(e memberEvent) bool { return len(e.voters()) == votingMembers })
	return c
}

// logOnFailure logs the changes of leaders, voters and leases if the test has failed, as most failures are caused by them.
func (c *logCluster) logOnFailure() {
	if !c.t.Failed() {
		return
	}
	logged := []string{eventVoterChange, eventVoters, eventLeads, eventLeaseAcquired}
	for _, e := range c.Events() {
		if slices.Contains(logged, e.Event) {
			c.t.Logf("%d %s %s %s %d %s", e.At, e.member, e.Event, e.Duty, max(e.Token, e.Index), e.Text)
		}
	}
}

func isLeadership(e memberEvent) bool { return e.Event == eventLeads }

// isRingHolder matches the acquisition of the ring's lease with a token above the given one.
func isRingHolder(above uint64) func(memberEvent) bool {
	return func(e memberEvent) bool {
		return e.Event == eventLeaseAcquired && e.Duty == ringDuty && e.Token > above
	}
}

// isEntryAt matches any entry applied by the named member.
func isEntryAt(name string) func(memberEvent) bool {
	return func(e memberEvent) bool { return e.Event == eventEntry && e.member == name }
}

// isRingDecision matches an entry with a decision of the ring's holder, accepted or not.
func isRingDecision(e memberEvent) bool {
	return e.Event == eventEntry && e.Kind == lease.Decide && e.Duty == ringDuty
}

// The holder of a lease is cut off from the five members in three ways: isolated in both directions, isolated in its outbound
// direction only, and with one other in a minority. Each time another member must acquire the lease after its expiry, and
// proposals of the old holder must be rejected after the partition has healed.
func TestOneHolderThroughPartitions(t *testing.T) {
	c := startLogCluster(t)
	c.WaitFor("a holder", 0, isRingHolder(0))
	for _, fault := range []struct {
		name string
		cut  func(holder string, others []string)
	}{
		{"isolated", func(holder string, _ []string) { c.Net.Isolate(holder, c.Names()) }},
		{"with its outbound direction cut", func(holder string, others []string) {
			for _, other := range others {
				c.Net.Cut(holder, other)
			}
		}},
		{minorityPartition, func(holder string, others []string) {
			c.Net.Partition([]string{holder, others[0]}, others[1:])
		}},
	} {
		holder := c.Last(isRingHolder(0))
		others := slices.DeleteFunc(c.Names(), func(name string) bool { return name == holder.member })
		first := c.EventCount()
		start := time.Now()
		fault.cut(holder.member, others)
		next := c.WaitFor("a successor of the holder "+fault.name, first, isRingHolder(holder.Token))
		t.Logf("holder %s: replaced after %v", fault.name, time.Since(start).Round(time.Millisecond))
		if next.member == holder.member {
			t.Errorf("holder %s: %s acquired the lease again", fault.name, holder.member)
		}
		if fault.name == minorityPartition && next.member == others[0] {
			t.Errorf("%s acquired the lease in a minority", next.member)
		}
		c.Net.Heal()
		first = c.EventCount()
		c.WaitFor(holder.member+" applying the log again", first, func(e memberEvent) bool {
			return isEntryAt(holder.member)(e) && e.Token > holder.Token
		})
	}
	c.checkLog(0)
}

// In a cluster of five processes the holder of a lease is suspended for longer than the lease and resumed. Then its successor
// is killed and restarted, and then the log's leader and another voter at once, all without their state.
func TestOneHolderThroughSuspensionKillAndRestarts(t *testing.T) {
	c := startLogCluster(t)
	c.WaitFor("a holder", 0, isRingHolder(0))
	next := c.suspendHolder()
	c.killHolder(next)
	c.killLeaderAndVoter()
	c.checkLog(1)
}

// suspendHolder suspends the ring's holder until after its lease has expired, and returns its successor.
func (c *logCluster) suspendHolder() (next memberEvent) {
	holder := c.Last(isRingHolder(0))
	first := c.EventCount()
	c.Signal(holder.member, syscall.SIGSTOP)
	suspendedAt := time.Now()
	next = c.WaitFor("a successor of the suspended holder", first, isRingHolder(holder.Token))
	c.t.Logf("suspended holder replaced after %v", time.Since(suspendedAt).Round(time.Millisecond))
	time.Sleep(time.Second - min(time.Since(suspendedAt), time.Second)) // suspended for longer than a lease in any case
	c.Signal(holder.member, syscall.SIGCONT)
	c.WaitFor("rejection of the resumed holder's late command", first, func(e memberEvent) bool {
		return isRingDecision(e) && e.Token == holder.Token && !e.IsAccepted
	})
	return next
}

// killHolder kills and restarts the ring's holder, and waits until five processes vote without the killed one.
func (c *logCluster) killHolder(holder memberEvent) {
	first := c.EventCount()
	killedAt, killed := time.Now(), ""
	for _, process := range c.Last(func(e memberEvent) bool { return len(e.voters()) == votingMembers }).voters() {
		if strings.HasPrefix(process, holder.member+"#") {
			killed = process
		}
	}
	c.Kill(holder.member)
	c.WaitFor("a successor of the killed holder", first, isRingHolder(holder.Token))
	c.t.Logf("killed holder replaced after %v", time.Since(killedAt).Round(time.Millisecond))
	c.Start(holder.member)
	c.WaitFor("entries applied by the restarted holder", c.EventCount(), isEntryAt(holder.member))
	c.WaitFor("removal of the killed voter", first, func(e memberEvent) bool {
		return e.Event == eventVoters && !slices.Contains(e.voters(), killed)
	})
	// Two more are killed next: with three of five voters failed there would be no quorum.
	c.WaitFor("five voters without the killed one", first, func(e memberEvent) bool {
		return len(e.voters()) == votingMembers && !slices.Contains(e.voters(), killed)
	})
}

// killLeaderAndVoter kills the log's leader and another voter at once, and restarts both.
func (c *logCluster) killLeaderAndVoter() {
	leader := c.Last(isLeadership)
	other := "m1"
	if leader.member == other {
		other = "m2"
	}
	first := c.EventCount()
	token := c.Last(isRingHolder(0)).Token
	c.Kill(leader.member)
	c.Kill(other)
	c.Start(leader.member)
	c.Start(other)
	c.WaitFor("a leader after the restarts", first, isLeadership)
	c.WaitFor("an accepted decision after the restarts", first, func(e memberEvent) bool {
		return isRingDecision(e) && e.IsAccepted && e.Token >= token
	})
}

// checkLog checks all events: every member has the same log, no stale command was accepted, no holder decided after its
// successor's first decision, each term had one leader, and there were at least minLateProposals late proposals.
func (c *logCluster) checkLog(minLateProposals int) {
	entries, leaders := map[uint64]memberEvent{}, map[uint64]string{}
	firstDecision, lastDecision := map[string]int64{}, map[string]int64{}
	lateProposals := 0
	for _, e := range c.Events() {
		switch e.Event {
		case eventEntry:
			known, isKnown := entries[e.Index]
			e.member = ""
			if isKnown {
				e.At = known.At
			}
			if isKnown && known != e {
				c.t.Errorf("entry %d differs between members: %+v and %+v", e.Index, known, e)
			}
			entries[e.Index] = e
		case eventLateProposal:
			lateProposals++
		case eventLeads:
			if other := leaders[e.Index]; other != "" && other != e.member {
				c.t.Errorf("%s and %s are both leaders in term %d", other, e.member, e.Index)
			}
			leaders[e.Index] = e.member
		case eventDecides:
			key := decisionKey(e.Duty, e.Token)
			if firstDecision[key] == 0 {
				firstDecision[key] = e.At
			}
			lastDecision[key] = e.At
		}
	}
	accepted := c.checkTokens(entries)
	c.checkSuccessions(firstDecision, lastDecision)
	if lateProposals < minLateProposals || accepted < 20 {
		c.t.Errorf("%d late commands proposed, %d decisions accepted; want at least %d and 20", lateProposals, accepted, minLateProposals)
	}
	c.t.Logf("%d late commands proposed, %d decisions accepted, %d terms with a leader", lateProposals, accepted, len(leaders))
}

// checkTokens checks that the tokens of accepted decisions never decrease, and returns the number of those decisions.
func (c *logCluster) checkTokens(entries map[uint64]memberEvent) (accepted int) {
	highest := map[string]uint64{}
	for index := uint64(0); index <= uint64(1<<20); index++ {
		e, ok := entries[index]
		if !ok || e.Kind != lease.Decide || !e.IsAccepted {
			continue
		}
		if accepted++; e.Token < highest[e.Duty] {
			c.t.Errorf("entry %d: token %d accepted after %d", index, e.Token, highest[e.Duty])
		}
		highest[e.Duty] = e.Token
	}
	return accepted
}

// checkSuccessions checks that no holder decided after its successor's first decision.
func (c *logCluster) checkSuccessions(firstDecision, lastDecision map[string]int64) {
	for key, last := range lastDecision {
		var duty string
		var token uint64
		_, _ = fmt.Sscan(key, &duty, &token)
		if next := firstDecision[decisionKey(duty, token+1)]; next != 0 && next < last {
			c.t.Errorf("%s: the holder with token %d decided %d ms after its successor had", duty, token, last-next)
		}
	}
}

func decisionKey(duty string, token uint64) string { return fmt.Sprint(duty, " ", token) }
