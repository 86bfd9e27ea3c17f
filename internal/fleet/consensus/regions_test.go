package consensus

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"thymechute/internal/decide/quorum"
)

// chosen are the voters of each region once the choice rests, fed as the leader feeds it: peers looked at, each a candidate.
// The first founds the log; a later one joined later; all follow and have caught up.
func chosen(t *testing.T, peers []Peer) map[string]int {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	known := map[string]*seen{}
	for n := range peers {
		peers[n].Process, peers[n].Address = fmt.Sprint("p", n, "#1"), fmt.Sprint("127.0.0.1:", 7000+n)
		look(known, peers[:n+1], now.Add(time.Duration(n)*time.Second))
	}
	now = now.Add(time.Hour)
	var members []quorum.Member
	for _, s := range known {
		members = append(members, s.candidate(0, true, now))
	}
	vote, learn := []string{peers[0].Process}, []string{}
	for range 100 {
		c := quorum.NextChange(quorum.Fleet{Members: members, Voters: vote, Learners: learn}, quorum.Config{MaxVoters: 5, MinAge: time.Second, HoldDown: time.Second})
		isChanged := func(process string) bool { return process == c.Process }
		switch c.Kind {
		case quorum.NoChange:
			regions := map[string]int{}
			for _, process := range vote {
				regions[known[process].Region]++
			}
			return regions
		case quorum.AddLearner:
			learn = append(learn, c.Process)
		case quorum.PromoteVoter:
			vote, learn = append(vote, c.Process), slices.DeleteFunc(learn, isChanged)
		case quorum.RemoveServer:
			vote, learn = slices.DeleteFunc(vote, isChanged), slices.DeleteFunc(learn, isChanged)
		}
	}
	t.Fatalf("no rest: %v", vote)
	return nil
}

// Who votes follows the region that each record names. Zones alone would take the members of the first region, which joined
// first and each stand in a zone of their own.
func TestVotersFollowTheRegionsOfTheRecords(t *testing.T) {
	stand := func(regions ...string) (peers []Peer) { // those of other regions than the first share one zone
		for n, region := range regions {
			zone := fmt.Sprint("z", n)
			if region != regions[0] {
				zone = "z0"
			}
			peers = append(peers, Peer{Region: region, Zone: zone})
		}
		return peers
	}
	for _, c := range []struct {
		what  string
		peers []Peer
		want  map[string]int
	}{
		{"three regions", stand("a", "a", "a", "a", "b", "b", "c"), map[string]int{"a": 2, "b": 2, "c": 1}},
		{"two regions: one of them has a quorum", stand("a", "a", "a", "a", "b", "b", "b"), map[string]int{"a": 3, "b": 2}},
		{"four regions", stand("a", "a", "a", "a", "b", "c", "d"), map[string]int{"a": 2, "b": 1, "c": 1, "d": 1}},
		{"records of an older build beside: one region together", stand("a", "a", "a", "a", "", "b", ""), map[string]int{"a": 2, "": 2, "b": 1}},
		{"none named", stand("", "", "", "", "", "", ""), map[string]int{"": 5}},
	} {
		if got := chosen(t, c.peers); !maps.Equal(got, c.want) {
			t.Errorf("%s: voters %v, want %v", c.what, got, c.want)
		}
	}
}
