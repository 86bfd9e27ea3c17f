package consensus

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/quorum"
	"thymechute/internal/testutil"
)

func TestHeartbeatMonitorTracksFailures(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := &heartbeatMonitor{failed: map[raft.ServerID]time.Time{}}
	fail := func(at time.Time) { m.handle(raft.FailedHeartbeatObservation{PeerID: "b"}, at) }
	for _, recovery := range []struct {
		name  string
		event any
	}{
		{"it responds again", raft.ResumedHeartbeatObservation{PeerID: "b"}},
		{"it is added again", raft.PeerObservation{Peer: raft.Server{ID: "b"}}},
		{"the leader becomes a follower", raft.Follower},
	} {
		if fail(now); !m.isFailing("b", now) || m.isFailing("d", now) {
			t.Errorf("after a failed heartbeat to b: b failing %v, d failing %v", m.isFailing("b", now), m.isFailing("d", now))
		}
		if m.handle(recovery.event, now); m.isFailing("b", now) {
			t.Errorf("%s: b still counts as failing", recovery.name)
		}
	}
	if fail(now); m.isFailing("b", now.Add(failedHeartbeatTTL)) {
		t.Error("b still counts as failing after failedHeartbeatTTL")
	}
	if m.handle(raft.Leader, now); !m.isNewLeader(now.Add(newLeaderPeriod-1)) || m.isNewLeader(now.Add(newLeaderPeriod)) {
		t.Error("want isNewLeader until newLeaderPeriod after the election, and not from then on")
	}
}

// The membership layer detects a failure seconds after raft's heartbeats do. Meanwhile a failed peer must not be promoted, and
// no voter be added while others have failed: with three of six voters failed the quorum would be lost permanently.
func TestUnreachablePeerIsNotPromoted(t *testing.T) {
	address := testutil.FreeAddressOn(t, "127.0.60.4")
	a := startLog(t, Config{Process: "a#1", Bind: testutil.FreeAddressOn(t, "127.0.60.3"), Bootstrap: true})
	b := startLog(t, Config{Process: "b#1", Bind: address})
	defer func() { _ = a.Stop() }()
	testutil.Eventually(t, "a leader", func() bool { return a.raft.State() == raft.Leader })
	if err := a.AddNonvoter("b#1", address); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	manager := &voterManager{log: a, config: quorum.Config{MaxVoters: 3, HoldDown: time.Hour}, peers: peerTable{}}
	// c is a third member, unreachable since ten intervals ago. The view that reconcile gets still contains b.
	manager.peers.update([]Peer{{Process: "c#1", Address: "c"}}, began.Add(-reconcileInterval*10))
	reconcile := func(now time.Time) quorum.Change {
		manager.peers.update([]Peer{{Process: "a#1", Address: "a"}, {Process: "b#1", Address: address, Applied: 1000}}, now)
		return manager.reconcile(now)
	}
	if c := reconcile(began); c.Kind != quorum.NoChange || manager.learner != "" {
		t.Errorf("a new leader changed the servers or chose a learner: %+v", c)
	}
	later := began.Add(newLeaderPeriod)
	manager.learner = "b#1"
	if err := b.Stop(); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "heartbeats to b#1 fail", func() bool { return a.heartbeats.isFailing("b#1", time.Now()) })
	if c := reconcile(later); c.Kind == quorum.PromoteVoter {
		t.Errorf("change %+v, though heartbeats to b#1 fail", c)
	}
	if got := a.Voters(); len(got) != 1 {
		t.Errorf("voters %v, want only the leader", got)
	}
}
