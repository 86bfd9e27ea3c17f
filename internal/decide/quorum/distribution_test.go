package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func regionsOf(s *simulation) map[string]int {
	regions := map[string]int{}
	for _, v := range s.Voters {
		regions[s.Members[s.position(v)].Region]++
	}
	return regions
}

// drawFleet draws a fleet over regions of some zones each, in any order of joining, all able to vote.
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

// changeUntilSettled applies changes until there is none; the test fails if they do not end.
func changeUntilSettled(t *rapid.T, s *simulation) {
	for range 60 {
		if !s.apply(t, NextChange(s.Fleet, config)) {
			return
		}
	}
	t.Fatalf("the changes do not settle: voters %v, learners %v", s.Voters, s.Learners)
}

// Voters are spread as evenly over the regions as possible, so that none has a quorum if three or more have candidates, and
// then the changes end. The same holds after a region has failed and after it is back.
func TestVotersSpreadOverRegionsAndSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawFleet(t)
		changeUntilSettled(t, s)
		checkEven(t, s)
		lost := fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "lost"))
		before := regionsOf(s)[lost]
		for n := range s.Members {
			if s.Members[n].Region == lost {
				s.Members[n].UnreachableFor = config.HoldDown
			}
		}
		changeUntilSettled(t, s)
		if remaining := 5 - before; remaining >= Majority(5) && regionsOf(s)[lost] > 0 && reachableMembers(s) >= 5 {
			t.Fatalf("voters of the lost region are not replaced: %v", regionsOf(s))
		}
		for n := range s.Members {
			s.Members[n].UnreachableFor = 0
		}
		changeUntilSettled(t, s)
		checkEven(t, s)
	})
}

func reachableMembers(s *simulation) (count int) {
	for _, m := range s.Members {
		if m.UnreachableFor == 0 {
			count++
		}
	}
	return count
}

// checkEven fails the test if a region has two voters more than another with a candidate.
func checkEven(t *rapid.T, s *simulation) {
	regions := regionsOf(s)
	if len(s.Voters) != 5 {
		t.Fatalf("%d voters", len(s.Voters))
	}
	most := 0
	for _, n := range regions {
		most = max(most, n)
	}
	for _, m := range s.Members {
		if !slices.Contains(s.Voters, m.Process) && regions[m.Region]+2 <= most {
			t.Fatalf("voters by region %v, though %s of %s could vote", regions, m.Process, m.Region)
		}
	}
}

// With forty zones in four regions, whose members joined region by region, the five voters are in five zones, and the failure
// of any region must leave a quorum.
func TestLostRegionLeavesQuorum(t *testing.T) {
	s := &simulation{Fleet{Voters: []string{"p0"}}}
	for n := range 400 {
		s.Members = append(s.Members, Member{Process: fmt.Sprint("p", n), Region: fmt.Sprint("r", n/100), Zone: fmt.Sprintf("z%02d", n/10),
			Age: time.Hour - time.Duration(n)*time.Second, CaughtUp: true})
	}
	settle(t, s)
	for region, n := range regionsOf(s) {
		if n >= Majority(len(s.Voters)) {
			t.Errorf("%s has %d of %d voters", region, n, len(s.Voters))
		}
	}
	if zones := zonesOf(s); len(zones) != 5 {
		t.Errorf("voters in the zones %v", zones)
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
			voters := []string{"p0", "p1", "p2", "p3", "p4"} // badly spread: every member is weighed
			for b.Loop() {
				NextChange(Fleet{Members: members, Voters: voters}, config)
			}
		})
	}
}
