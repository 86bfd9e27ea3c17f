package consensus

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/lease"
	"thymechute/internal/testutil"
)

// discardSubscriber is a Subscriber that ignores the log.
type discardSubscriber struct{}

func (discardSubscriber) EntryApplied(uint64, lease.Command)    {}
func (discardSubscriber) SnapshotRestored(*lease.Table, []byte) {}

// startLog starts a replica for one duty, with a short heartbeat timeout.
func startLog(t *testing.T, c Config) *Log {
	t.Helper()
	c.Duties, c.HeartbeatTimeout = []string{"ring"}, 100*time.Millisecond
	l, err := Start(c, discardSubscriber{})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A process that restarts without its state at the same address must neither vote nor acknowledge entries as its predecessor:
// entries that were lost with the predecessor would count as committed, and two votes could be cast in one term.
func TestRestartedProcessDoesNotAnswerForItsPredecessor(t *testing.T) {
	address := testutil.FreeAddressOn(t, "127.0.60.2")
	a := startLog(t, Config{Process: "a#1", Bind: testutil.FreeAddressOn(t, "127.0.60.1"), Bootstrap: true})
	b := startLog(t, Config{Process: "b#1", Bind: address})
	defer func() { _ = a.Stop() }()
	testutil.Eventually(t, "a leader", func() bool { return a.raft.State() == raft.Leader })
	if err := a.AddVoter("b#1", address); err != nil {
		t.Fatal(err)
	}
	if err := a.raft.Barrier(5 * time.Second).Error(); err != nil {
		t.Fatal(err)
	}
	if err := b.Stop(); err != nil {
		t.Fatal(err)
	}
	restarted := startLog(t, Config{Process: "b#2", Bind: address})
	defer func() { _ = restarted.Stop() }()
	testutil.Eventually(t, "the leader steps down", func() bool { return a.raft.State() != raft.Leader })
	if err := a.raft.Barrier(time.Second).Error(); err == nil {
		t.Error("an entry was committed, though one of the two voters has lost its log")
	}
	if n := restarted.raft.LastIndex(); n != 0 {
		t.Errorf("the restarted process has %d entries, though it was not added to raft's servers", n)
	}
}
