package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// votersByRegion returns the number of voters per region.
func votersByRegion(s *simulation) map[string]int {
	regions := map[string]int{}
	for _, v := range s.Voters {
		regions[s.Members[s.memberIndex(v)].Region]++
	}
	return regions
}

// drawFleet draws a fleet of random regions and zones whose members joined in any order and are all eligible.
func drawFleet(t *rapid.T) *simulation {
	regions, zones := rapid.IntRange(1, 5).Draw(t, "regions"), rapid.IntRange(1, 4).Draw(t, "zones")
	s := &simulation{Fleet{Voters: []string{"p0"}}}
	for n := range rapid.IntRange(5, 40).Draw(t, "size") {
		region := rapid.IntRange(0, regions-1).Draw(t, "region")
		s.Members = append(s.Members, Member{Process: fmt.Sprint("p", n), Region: fmt.Sprint("r", region),
			Zone: fmt.Sprintf("r%d-z%d", region, rapid.IntRange(0, zones-1).Draw(t, "zone")), Age: time.Hour - time.Duration(n)*time.Second, CaughtUp: true})
	}
	return s
}

// changeUntilSettled applies changes until there are none; the test fails if there are more than 60.
func changeUntilSettled(t *rapid.T, s *simulation) {
	for range 60 {
		if !s.apply(t, NextChange(s.Fleet, config)) {
			return
		}
	}
	t.Fatalf("still changing after 60 changes: voters %v, learners %v", s.Voters, s.Learners)
}

// The voters spread as evenly over the regions as possible, so that no region has a quorum if three or more have candidates,
// and the changes come to an end. The same holds after a region has failed and after it has recovered.
func TestVotersSpreadOverRegionsAndSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawFleet(t)
		changeUntilSettled(t, s)
		checkEvenSpread(t, s)
		lostRegion := fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "lost"))
		before := votersByRegion(s)[lostRegion]
		for n := range s.Members {
			if s.Members[n].Region == lostRegion {
				s.Members[n].UnreachableFor = config.HoldDown
			}
		}
		changeUntilSettled(t, s)
		if remaining := 5 - before; remaining >= Majority(5) && votersByRegion(s)[lostRegion] > 0 && countReachableMembers(s) >= 5 {
			t.Fatalf("voters of the failed region are not replaced: voters by region %v", votersByRegion(s))
		}
		for n := range s.Members {
			s.Members[n].UnreachableFor = 0
		}
		changeUntilSettled(t, s)
		checkEvenSpread(t, s)
	})
}

func countReachableMembers(s *simulation) (count int) {
	for _, m := range s.Members {
		if m.UnreachableFor == 0 {
			count++
		}
	}
	return count
}

// checkEvenSpread fails the test if a region has two more voters than another one with a candidate.
func checkEvenSpread(t *rapid.T, s *simulation) {
	regions := votersByRegion(s)
	if len(s.Voters) != 5 {
		t.Fatalf("%d voters, want 5", len(s.Voters))
	}
	most := 0
	for _, n := range regions {
		most = max(most, n)
	}
	for _, m := range s.Members {
		if !slices.Contains(s.Voters, m.Process) && regions[m.Region]+2 <= most {
			t.Fatalf("voters by region %v are uneven: %s of %s is eligible", regions, m.Process, m.Region)
		}
	}
}

// In a fleet with forty zones in four regions, whose members joined region by region, the five voters must be in five
// zones, and the failure of any region must leave a quorum.
func TestLostRegionLeavesQuorum(t *testing.T) {
	s := &simulation{Fleet{Voters: []string{"p0"}}}
	for n := range 400 {
		s.Members = append(s.Members, Member{Process: fmt.Sprint("p", n), Region: fmt.Sprint("r", n/100), Zone: fmt.Sprintf("z%02d", n/10),
			Age: time.Hour - time.Duration(n)*time.Second, CaughtUp: true})
	}
	settle(t, s)
	for region, n := range votersByRegion(s) {
		if n >= Majority(len(s.Voters)) {
			t.Errorf("%s has %d of %d voters", region, n, len(s.Voters))
		}
	}
	if zones := votersByZone(s); len(zones) != 5 {
		t.Errorf("voters by zone %v, want 5 zones", zones)
	}
}

func BenchmarkNext(b *testing.B) {
	for _, size := range []int{150, 300, 600, 1200} {
		b.Run(fmt.Sprint(size, " members"), func(b *testing.B) {
			var members []Member
			for n := range size {
				members = append(members, Member{Process: fmt.Sprint("p", n), Region: fmt.Sprint("r", n*4/size), Zone: fmt.Sprint("z", n/30),
					Age: time.Hour, CaughtUp: true})
			}
			voters := []string{"p0", "p1", "p2", "p3", "p4"} // badly distributed, so every member is considered
			for b.Loop() {
				NextChange(Fleet{Members: members, Voters: voters}, config)
			}
		})
	}
}
