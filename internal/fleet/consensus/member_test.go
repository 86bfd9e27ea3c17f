package consensus_test

import (
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/testutil/member"
)

const (
	zoneVariable = "CONSENSUS_ZONE" // a member's zone, in its environment

	pollInterval        = 20 * time.Millisecond
	releaseDelay        = 300 * time.Millisecond // until released leases have reached the leader; no check depends on it
	pollsPerDecision    = 5
	lateProposals       = 20 // so many that one reaches a leader
	lateProposalsPeriod = 50 * time.Millisecond
)

// Kinds of events.
const (
	eventLeaseAcquired = "lease acquired"
	eventLeaseLost     = "lease lost"
	eventDecides       = "decides"
	eventEntry         = "entry"
	eventLateProposal  = "late proposal"
	eventLeads         = "leads"
	eventVoterChange   = "voter change"
	eventVoters        = "voters"
)

var duties = []string{"ring", "roll"}

// memberEvent is an event that a member's process emits.
type memberEvent struct {
	Event        string
	Duty, Text   string
	Token, Index uint64
	Kind         lease.Kind
	IsAccepted   bool
	At           int64 // Unix ms
	member       string
}

// voters returns the processes that vote, as known to the member; none for an event of another kind.
func (e memberEvent) voters() []string {
	if e.Event != eventVoters {
		return nil
	}
	return strings.Split(e.Text, ",")
}

func TestMain(m *testing.M) { member.Main(m, runMember) }

// testMember runs in a member's process, until its standard input is closed or its maximal lifetime is over. It is the log's
// Watcher.
type testMember struct {
	*member.Member
	tokens sync.Map // by duty: the token of the last lease that it held
}

func runMember(process *member.Member) {
	m := &testMember{Member: process}
	m.Join(member.Config{
		Record: membership.Record{Zone: os.Getenv(zoneVariable)}, Duties: duties, Watcher: m,
		OnVoterChange: func(c quorum.Change) {
			m.emit(memberEvent{Event: eventVoterChange, Kind: lease.Kind(c.Kind), Text: c.Reason + " " + c.Process})
		},
	})
	go m.poll()
	m.AwaitParentExit()
	m.Driver().Drain(0)
	time.Sleep(releaseDelay)
	_ = m.Membership.Leave(time.Second)
	m.Driver().Stop()
}

func (m *testMember) emit(e memberEvent) {
	e.At = time.Now().UnixMilli()
	m.Emit(e)
}

// LeaseAcquired implements consensus.Watcher.
func (m *testMember) LeaseAcquired(duty string, token uint64) {
	m.tokens.Store(duty, token)
	m.emit(memberEvent{Event: eventLeaseAcquired, Duty: duty, Token: token})
}

// LeaseLost implements consensus.Watcher.
func (m *testMember) LeaseLost(duty string) { m.emit(memberEvent{Event: eventLeaseLost, Duty: duty}) }

// EntryApplied implements consensus.Watcher.
func (m *testMember) EntryApplied(index uint64, c lease.Command, o lease.Outcome) {
	m.emit(memberEvent{Event: eventEntry, Duty: c.Duty, Token: c.Token, Index: index, Kind: c.Kind, IsAccepted: o.Accepted})
}

// SnapshotRestored implements consensus.Watcher.
func (m *testMember) SnapshotRestored([]byte) {}

// Tick implements consensus.Watcher.
func (m *testMember) Tick(time.Duration) {}

var _ consensus.Watcher = (*testMember)(nil)

// poll emits an event whenever this member becomes the leader and whenever the voters change, and proposes decisions under
// the leases that it holds, until the process ends.
func (m *testMember) poll() {
	var term uint64
	var voters string
	lastPoll := time.Now()
	for n := 0; ; n++ {
		time.Sleep(pollInterval)
		if time.Since(lastPoll) > member.LeaseConfig.Duration { // it was suspended
			m.proposeLate()
		}
		lastPoll = time.Now()
		log := m.Driver().Log
		if _, isLeader := log.Leader(); isLeader && log.Term() != term {
			term = log.Term()
			m.emit(memberEvent{Event: eventLeads, Index: term})
		}
		if current := strings.Join(slices.Sorted(slices.Values(log.Voters())), ","); current != voters {
			voters = current
			m.emit(memberEvent{Event: eventVoters, Text: voters})
		}
		if n%pollsPerDecision == 0 {
			m.decide()
			m.PublishApplied()
		}
	}
}

// proposeLate proposes decisions under the leases last held without checking that they are still valid, like a process that
// was suspended between checking its lease and proposing.
func (m *testMember) proposeLate() {
	m.tokens.Range(func(duty, token any) bool {
		c := lease.Command{Kind: lease.Decide, Duty: duty.(string), Member: m.Process, Incarnation: m.Incarnation,
			Token: token.(uint64), Body: "late"}
		m.emit(memberEvent{Event: eventLateProposal, Duty: c.Duty, Token: c.Token})
		for range lateProposals {
			m.Driver().Propose(c)
			time.Sleep(lateProposalsPeriod)
		}
		return true
	})
}

func (m *testMember) decide() {
	for _, duty := range duties {
		m.Driver().Decide(duty, "plan", func(isProposed bool) {
			if token, _ := m.tokens.Load(duty); isProposed {
				m.emit(memberEvent{Event: eventDecides, Duty: duty, Token: token.(uint64)})
			}
		})
	}
}
