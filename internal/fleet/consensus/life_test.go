package consensus

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/lease"
	"thymechute/internal/testutil"
)

// still is a Reader that says nothing.
type still struct{}

func (still) EntryApplied(uint64, lease.Command)    {}
func (still) SnapshotRestored(*lease.Table, []byte) {}

// A process that starts cold at an address where another has voted must not vote, nor acknowledge an entry, in its place:
// the log would count as kept what that vote's life has lost, and one vote could be given twice in a term.
func TestNobodyAnswersForTheLifeBefore(t *testing.T) {
	start := func(process, bind string, found bool) *Log {
		l, err := Start(Config{Process: process, Bind: bind, Bootstrap: found, Duties: []string{"ring"}, HeartbeatTimeout: 100 * time.Millisecond}, still{})
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	at := testutil.FreePort(t, "127.0.60.2")
	a, b := start("a#1", testutil.FreePort(t, "127.0.60.1"), true), start("b#1", at, false)
	defer func() { _ = a.Stop() }()
	testutil.Eventually(t, "a leader", func() bool { return a.raft.State() == raft.Leader })
	if err := a.AddVoter("b#1", at); err != nil {
		t.Fatal(err)
	}
	if err := a.raft.Barrier(5 * time.Second).Error(); err != nil {
		t.Fatal(err)
	}
	if err := b.Stop(); err != nil {
		t.Fatal(err)
	}
	cold := start("b#2", at, false)
	defer func() { _ = cold.Stop() }()
	testutil.Eventually(t, "the leader steps down", func() bool { return a.raft.State() != raft.Leader })
	if err := a.raft.Barrier(time.Second).Error(); err == nil {
		t.Error("an entry is agreed though half of the voters have lost their log")
	}
	if n := cold.raft.LastIndex(); n != 0 {
		t.Errorf("the cold process holds %d entries, and nobody made it a follower", n)
	}
}
