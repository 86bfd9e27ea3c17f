package quorum

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var bounds = Config{MaxVoters: 5, MinAge: 10 * time.Second, HoldDown: 5 * time.Second}

// play applies changes until none is left, and fails where one breaks a rule.
type play struct {
	members          []Member
	voters, learners []string
}

func (p *play) heard() (n int) {
	for _, v := range p.voters {
		if at := p.at(v); at >= 0 && p.members[at].UnreachableFor == 0 {
			n++
		}
	}
	return n
}

func (p *play) at(process string) int {
	return slices.IndexFunc(p.members, func(m Member) bool { return m.Process == process })
}

func (p *play) apply(t interface{ Fatalf(string, ...any) }, c Change) bool {
	before, had := p.heard(), p.heard() >= Majority(len(p.voters))
	switch c.Kind {
	case NoChange:
		return false
	case AddLearner:
		if slices.Contains(p.voters, c.Process) || slices.Contains(p.learners, c.Process) {
			t.Fatalf("%+v: learns twice", c)
		}
		p.learners = append(p.learners, c.Process)
	case PromoteVoter:
		at := slices.Index(p.learners, c.Process)
		if at < 0 || !p.members[p.at(c.Process)].CaughtUp {
			t.Fatalf("%+v: votes without having caught up", c)
		}
		p.learners = slices.Delete(p.learners, at, at+1)
		if p.voters = append(p.voters, c.Process); len(p.voters) > 2 && before < Majority(len(p.voters)) {
			t.Fatalf("%+v: the grown set has no quorum without it", c)
		}
	case RemoveServer:
		if at := slices.Index(p.learners, c.Process); at >= 0 {
			p.learners = slices.Delete(p.learners, at, at+1)
			return true
		}
		at := slices.Index(p.voters, c.Process)
		p.voters = slices.Delete(p.voters, at, at+1)
	}
	if !had || p.heard() < Majority(len(p.voters)) || len(p.voters) > bounds.MaxVoters+1 {
		t.Fatalf("%+v: %d of %d voters heard, quorum before %v", c, p.heard(), len(p.voters), had)
	}
	return true
}

func TestNoChangeEverLosesAQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &play{members: []Member{{Process: "p0", Zone: "z0", Age: time.Minute, CaughtUp: true}}, voters: []string{"p0"}}
		born := 1
		some := func(t *rapid.T) *Member { return &p.members[rapid.IntRange(0, len(p.members)-1).Draw(t, "who")] }
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if len(p.members) < 12 {
					p.members = append(p.members, Member{Process: fmt.Sprint("p", born), Zone: fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone"))})
					born++
				}
			},
			"silent": func(t *rapid.T) { some(t).UnreachableFor = time.Second },
			"heard":  func(t *rapid.T) { some(t).UnreachableFor = 0 },
			"leave":  func(t *rapid.T) { some(t).Draining = true },
			"forget": func(t *rapid.T) {
				if n := rapid.IntRange(0, len(p.members)-1).Draw(t, "who"); len(p.members) > 1 {
					p.members = slices.Delete(p.members, n, n+1)
				}
			},
			"time": func(t *rapid.T) {
				for n := range p.members {
					p.members[n].Age += 4 * time.Second
					if p.members[n].UnreachableFor > 0 {
						p.members[n].UnreachableFor += 4 * time.Second
					}
					p.members[n].CaughtUp = p.members[n].UnreachableFor == 0
				}
			},
			"change": func(t *rapid.T) { p.apply(t, NextChange(p.members, p.voters, p.learners, false, bounds)) },
		})
	})
}

// settled runs changes and time until nothing is left to change.
func settled(t *testing.T, p *play) Change {
	for range 100 {
		for n := range p.members {
			p.members[n].Age += time.Second
			p.members[n].CaughtUp = p.members[n].UnreachableFor == 0
			if p.members[n].UnreachableFor > 0 {
				p.members[n].UnreachableFor += time.Second
			}
		}
		c := NextChange(p.members, p.voters, p.learners, false, bounds)
		if !p.apply(t, c) && c.Reason == "nothing to change" {
			return c
		}
	}
	return NextChange(p.members, p.voters, p.learners, false, bounds)
}

func zonesOf(p *play) map[string]int {
	zones := map[string]int{}
	for _, v := range p.voters {
		zones[p.members[p.at(v)].Zone]++
	}
	return zones
}

func TestFiveVotersOverAllZonesAndReplacedAsTheyGo(t *testing.T) {
	p := &play{voters: []string{"p0"}}
	for n := range 12 { // the first eight stand in one zone
		p.members = append(p.members, Member{Process: fmt.Sprint("p", n), Zone: fmt.Sprint("z", max(0, n-7)%3), Age: time.Duration(20-n) * time.Second})
	}
	if c := settled(t, p); c.Kind != NoChange || len(p.voters) != 5 || len(zonesOf(p)) != 3 {
		t.Fatalf("%+v: voters %v in %v", c, p.voters, zonesOf(p))
	}
	first := slices.Clone(p.voters)
	p.members[p.at(first[0])].UnreachableFor = time.Second
	if c := NextChange(p.members, p.voters, nil, false, bounds); c.Kind != NoChange {
		t.Errorf("silent for a second: %+v", c)
	}
	p.members[p.at(first[0])].UnreachableFor = bounds.HoldDown
	settled(t, p)
	if len(p.voters) != 5 || slices.Contains(p.voters, first[0]) {
		t.Errorf("a dead voter is not replaced: %v", p.voters)
	}
	leaving := p.voters[2]
	p.members[p.at(leaving)].Draining = true
	settled(t, p)
	if len(p.voters) != 5 || slices.Contains(p.voters, leaving) || len(zonesOf(p)) != 3 {
		t.Errorf("one that leaves is not replaced: %v in %v", p.voters, zonesOf(p))
	}
	if c := NextChange(p.members, p.voters, nil, true, bounds); c.Kind != NoChange {
		t.Errorf("two changes at once: %+v", c)
	}
}

// Seen on processes: one of five stopped, its successor as leader then wanted three and dropped a good one, itself.
func TestASilentVoterMakesTheOthersNoFewer(t *testing.T) {
	p := &play{voters: []string{"p0", "p1", "p2", "p3", "p4"}}
	for n := range 5 {
		p.members = append(p.members, Member{Process: fmt.Sprint("p", n), Zone: "z", Age: time.Hour, CaughtUp: true})
	}
	for _, silent := range []time.Duration{time.Second, time.Hour} {
		p.members[0].UnreachableFor = silent
		if c := NextChange(p.members, p.voters, nil, false, bounds); c.Kind != NoChange {
			t.Errorf("silent for %v: %+v", silent, c)
		}
	}
	p.members[0].UnreachableFor, p.members[0].Draining = 0, true // a fleet that does shrink, to four
	if settled(t, p); len(p.voters) != 3 || slices.Contains(p.voters, "p0") {
		t.Errorf("four members have the voters %v", p.voters)
	}
}

func TestALeaderThatHasJustStartedDropsNobody(t *testing.T) {
	p := &play{voters: []string{"p0", "p1", "p2", "p3", "p4"}}
	for n := range 8 { // two voters are silent to it yet, and it has known all for a moment only
		p.members = append(p.members, Member{Process: fmt.Sprint("p", n), Zone: "z", CaughtUp: true})
	}
	p.members[3].UnreachableFor, p.members[4].UnreachableFor = time.Second, time.Second
	if c := NextChange(p.members, p.voters, nil, false, bounds); c.Kind != NoChange {
		t.Errorf("%+v", c)
	}
	p.members = p.members[:5] // and these are all
	if c := NextChange(p.members, p.voters, nil, false, bounds); c.Kind != NoChange {
		t.Errorf("%+v", c)
	}
}

func TestALostQuorumIsSaidAndNothingDecided(t *testing.T) {
	p := &play{voters: []string{"p0", "p1", "p2"}}
	for n := range 6 {
		p.members = append(p.members, Member{Process: fmt.Sprint("p", n), Zone: "z", Age: time.Hour, CaughtUp: true})
	}
	p.members[1].UnreachableFor, p.members[2].UnreachableFor = time.Hour, time.Hour
	c := NextChange(p.members, p.voters, nil, false, bounds)
	if c.Kind != NoChange || !strings.Contains(c.Reason, "quorum lost") || !strings.Contains(c.Reason, "p1, p2") {
		t.Errorf("%+v", c)
	}
}

func TestAProcessThatStartsColdIsAnotherVoter(t *testing.T) {
	p := &play{voters: []string{"a#1", "b#1", "c#1"}}
	for _, name := range []string{"a#1", "b#1", "c#1", "c#2"} { // c was started anew
		p.members = append(p.members, Member{Process: name, Zone: "z", Age: time.Hour, CaughtUp: true})
	}
	p.members[2].Replaced = true // no hold-down: it has ended for certain, and its successor can't follow before it is out
	if c := NextChange(p.members, p.voters, nil, false, bounds); c.Kind != RemoveServer || c.Process != "c#1" {
		t.Errorf("%+v", c)
	}
	settled(t, p)
	if !slices.Contains(p.voters, "c#2") || slices.Contains(p.voters, "c#1") || len(p.voters) != 3 {
		t.Errorf("voters %v", p.voters)
	}
}
