package consensus

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/quorum"
	"thymechute/internal/testutil"
)

func TestWhomTheHeartbeatsMiss(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := &contact{missed: map[raft.ServerID]time.Time{}}
	fail := func(at time.Time) { c.note(raft.FailedHeartbeatObservation{PeerID: "b"}, at) }
	for _, ends := range []struct {
		what  string
		event any
	}{
		{"it answers again", raft.ResumedHeartbeatObservation{PeerID: "b"}},
		{"it is taken in anew", raft.PeerObservation{Peer: raft.Server{ID: "b"}}},
		{"another leads", raft.Follower},
	} {
		if fail(now); !c.misses("b", now) || c.misses("d", now) {
			t.Errorf("a failed heartbeat to b: misses b %v, d %v", c.misses("b", now), c.misses("d", now))
		}
		if c.note(ends.event, now); c.misses("b", now) {
			t.Errorf("%s, and it is still missed", ends.what)
		}
	}
	if fail(now); c.misses("b", now.Add(missedFor)) {
		t.Error("missed for ever by one failed heartbeat")
	}
	if c.note(raft.Leader, now); !c.early(now.Add(leadFirst-1)) || c.early(now.Add(leadFirst)) {
		t.Error("a leader is early for leadFirst, and no longer")
	}
}

// Membership notices a death seconds after the log's heartbeats do. Meanwhile nobody may vote who is dead, nor may one be added
// beside voters that are: with three of six gone the quorum would be lost for good.
func TestNobodyVotesWhomTheHeartbeatsMiss(t *testing.T) {
	start := func(process, bind string, found bool) *Log {
		l, err := Start(Config{Process: process, Bind: bind, Bootstrap: found, Duties: []string{"ring"}, HeartbeatTimeout: 100 * time.Millisecond}, still{})
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	at := testutil.FreePort(t, "127.0.60.4")
	a, b := start("a#1", testutil.FreePort(t, "127.0.60.3"), true), start("b#1", at, false)
	defer func() { _ = a.Stop() }()
	testutil.Eventually(t, "a leader", func() bool { return a.raft.State() == raft.Leader })
	if err := a.AddLearner("b#1", at); err != nil {
		t.Fatal(err)
	}
	began, learner := time.Now(), ""
	known := map[string]*seen{}
	look(known, []Peer{{Process: "c#1", Address: "c"}}, began.Add(-careEvery*10)) // the third of three, silent since
	care := func(now time.Time) quorum.Change {                                   // b is in the view, as membership has it
		look(known, []Peer{{Process: "a#1", Address: "a"}, {Process: "b#1", Address: at, Applied: 1000}}, now)
		return a.care(known, &learner, now, quorum.Config{MaxVoters: 3, HoldDown: time.Hour})
	}
	if c := care(began); c.Kind != quorum.NoChange || learner != "" {
		t.Errorf("%+v by a leader that has just begun to lead", c)
	}
	later := began.Add(leadFirst)
	learner = "b#1"
	if err := b.Stop(); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "the heartbeats miss it", func() bool { return a.contact.misses("b#1", time.Now()) })
	if c := care(later); c.Kind == quorum.PromoteVoter {
		t.Errorf("%+v, though the heartbeats miss it", c)
	}
	if got := a.Voters(); len(got) != 1 {
		t.Errorf("voters %v, want the leader alone", got)
	}
}
