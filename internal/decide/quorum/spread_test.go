package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func regionsOf(p *play) map[string]int {
	regions := map[string]int{}
	for _, v := range p.voters {
		regions[p.members[p.at(v)].Region]++
	}
	return regions
}

// drawnRegions is a fleet over regions of some zones each, in any order of joining, all able to vote.
func drawnRegions(t *rapid.T) *play {
	regions, zones := rapid.IntRange(1, 5).Draw(t, "regions"), rapid.IntRange(1, 4).Draw(t, "zones")
	p := &play{voters: []string{"p0"}}
	for n := range rapid.IntRange(5, 40).Draw(t, "size") {
		region := rapid.IntRange(0, regions-1).Draw(t, "region")
		p.members = append(p.members, Member{Process: fmt.Sprint("p", n), Region: fmt.Sprint("r", region),
			Zone: fmt.Sprintf("r%d-z%d", region, rapid.IntRange(0, zones-1).Draw(t, "zone")), Age: time.Hour - time.Duration(n)*time.Second, CaughtUp: true})
	}
	return p
}

// rest applies changes until there is none; it fails where they don't end.
func rest(t *rapid.T, p *play) {
	for range 60 {
		if !p.apply(t, NextChange(p.members, p.voters, p.learners, false, bounds)) {
			return
		}
	}
	t.Fatalf("no rest: voters %v, learners %v", p.voters, p.learners)
}

// As even over the regions as they allow, so no region has a quorum where three or more have somebody able; and with that
// over as many zones; and then it rests. So it is again after a region is lost and after it is back.
func TestVotersLieOverTheRegionsAndRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawnRegions(t)
		rest(t, p)
		even(t, p)
		lost := fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "lost"))
		before := regionsOf(p)[lost]
		for n := range p.members {
			if p.members[n].Region == lost {
				p.members[n].UnreachableFor = bounds.HoldDown
			}
		}
		rest(t, p)
		if left := 5 - before; left >= Majority(5) && regionsOf(p)[lost] > 0 && able(p) >= 5 {
			t.Fatalf("voters of the lost region are not replaced: %v", regionsOf(p))
		}
		for n := range p.members {
			p.members[n].UnreachableFor = 0
		}
		rest(t, p)
		even(t, p)
	})
}

func able(p *play) (count int) {
	for _, m := range p.members {
		if m.UnreachableFor == 0 {
			count++
		}
	}
	return count
}

// even fails where a voter could be taken from one region to another that has two fewer.
func even(t *rapid.T, p *play) {
	regions := regionsOf(p)
	if len(p.voters) != 5 {
		t.Fatalf("%d voters", len(p.voters))
	}
	most := 0
	for _, n := range regions {
		most = max(most, n)
	}
	for _, m := range p.members {
		if !slices.Contains(p.voters, m.Process) && regions[m.Region]+2 <= most {
			t.Fatalf("voters %v, and %s of %s is none", regions, m.Process, m.Region)
		}
	}
}

// Forty zones in four regions, the members of one region joined first: five voters over five zones, and yet a region lost
// must leave a quorum.
func TestARegionLostLeavesAQuorum(t *testing.T) {
	p := &play{voters: []string{"p0"}}
	for n := range 400 {
		p.members = append(p.members, Member{Process: fmt.Sprint("p", n), Region: fmt.Sprint("r", n/100), Zone: fmt.Sprintf("z%02d", n/10),
			Age: time.Hour - time.Duration(n)*time.Second, CaughtUp: true})
	}
	settled(t, p)
	for region, n := range regionsOf(p) {
		if n >= Majority(len(p.voters)) {
			t.Errorf("%s has %d of %d voters", region, n, len(p.voters))
		}
	}
	if zones := zonesOf(p); len(zones) != 5 {
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
				NextChange(members, voters, nil, false, bounds)
			}
		})
	}
}
