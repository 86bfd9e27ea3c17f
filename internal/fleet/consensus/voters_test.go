package consensus

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"thymechute/internal/decide/quorum"
)

// votersByRegion returns the number of voters in each region once there is nothing left to change. The first peer bootstraps
// the log and the others join one after another; all are servers that have caught up.
func votersByRegion(t *testing.T, peers []Peer) map[string]int {
	t.Helper()
	now := time.Unix(1_800_000_000, 0)
	known := peerTable{}
	for n := range peers {
		peers[n].Process, peers[n].Address = fmt.Sprint("p", n, "#1"), fmt.Sprint("127.0.0.1:", 7000+n)
		known.update(peers[:n+1], now.Add(time.Duration(n)*time.Second))
	}
	now = now.Add(time.Hour)
	var members []quorum.Member
	for _, p := range known {
		member := p.quorumMember(now)
		member.CaughtUp = true
		members = append(members, member)
	}
	voters, learners := []string{peers[0].Process}, []string{}
	for range 100 {
		config := quorum.Config{MaxVoters: 5, MinAge: time.Second, HoldDown: time.Second}
		c := quorum.NextChange(quorum.Fleet{Members: members, Voters: voters, Learners: learners}, config)
		isChanged := func(process string) bool { return process == c.Process }
		switch c.Kind {
		case quorum.NoChange:
			regions := map[string]int{}
			for _, process := range voters {
				regions[known[process].Region]++
			}
			return regions
		case quorum.AddLearner:
			learners = append(learners, c.Process)
		case quorum.PromoteVoter:
			voters, learners = append(voters, c.Process), slices.DeleteFunc(learners, isChanged)
		case quorum.RemoveServer:
			voters, learners = slices.DeleteFunc(voters, isChanged), slices.DeleteFunc(learners, isChanged)
		}
	}
	t.Fatalf("the changes do not settle: voters %v", voters)
	return nil
}

// Voters are spread over the regions named in the records. If only zones counted, all voters would be in the first region,
// whose members joined first and are each in a zone of their own.
func TestVotersFollowRecordedRegions(t *testing.T) {
	inRegions := func(regions ...string) (peers []Peer) { // members outside the first region share one zone
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
		name  string
		peers []Peer
		want  map[string]int
	}{
		{"three regions", inRegions("a", "a", "a", "a", "b", "b", "c"), map[string]int{"a": 2, "b": 2, "c": 1}},
		{"two regions, of which one must have the quorum", inRegions("a", "a", "a", "a", "b", "b", "b"), map[string]int{"a": 3, "b": 2}},
		{"four regions", inRegions("a", "a", "a", "a", "b", "c", "d"), map[string]int{"a": 2, "b": 1, "c": 1, "d": 1}},
		{"records of an older build count as one region", inRegions("a", "a", "a", "a", "", "b", ""), map[string]int{"a": 2, "": 2, "b": 1}},
		{"no member names a region", inRegions("", "", "", "", "", "", ""), map[string]int{"": 5}},
	} {
		if got := votersByRegion(t, c.peers); !maps.Equal(got, c.want) {
			t.Errorf("%s: voters %v, want %v", c.name, got, c.want)
		}
	}
}
