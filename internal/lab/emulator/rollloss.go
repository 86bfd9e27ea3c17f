// This file owns the roll of a release at a given pace through the loss of many members at once: a rack, a zone or a
// region that falls silent in the middle of it and comes back. It decides nothing.

package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"thymechute/internal/decide/rollout"
)

// RollPlace is where a member stands.
type RollPlace struct {
	Zone          string
	Voter, Owner  bool
	Runs, Lost    bool // it runs the wanted release already; the loss takes it
	ComesBackCold bool // after the loss with another life at the installed release, which is the wanted one
}

// RollLoss is the script: the members, the loss at a time for a time, and the multiple of their load that all others
// carry meanwhile.
type RollLoss struct {
	Places  []RollPlace
	Bounds  rollout.Bounds
	Drain   time.Duration // from the drain to the return
	At, For time.Duration
	Load    float64 // of each zone, a part of its whole capacity
	Shift   float64
	Most    time.Duration // after which the run ends, done or not
}

// RollLossFigures are a run's.
type RollLossFigures struct {
	Took          time.Duration // until all that can be rolled run the release; 0: not by the end
	Held          time.Duration // held because a zone can't spare another
	Drains        int
	DrainsInLoss  int
	DrainedTwice  int
	UnderFloor    int // drains that left their zone under its floor with its largest lost
	VotersAtOnce  int
	OverFloorMin  float64 // least capacity of the zones that lost nobody over the part that stays of the whole
	Stuck         int     // most members said to be stuck at one time
	Rolled        float64
	ResumedWithin time.Duration // from the members' return to the next drain; 0: none was left to go
}

const rollLossStep = time.Second

type rollLossRun struct {
	RollLoss
	fleet  []rolling
	usual  map[string]float64
	whole  map[string]float64
	place  map[string]int // of a name in fleet
	agreed *rollout.Roll
	now    time.Duration
	f      RollLossFigures
}

// RollThrough plays the script.
func RollThrough(script RollLoss) (RollLossFigures, error) {
	s := newRollLossRun(script)
	if _, _, err := rollout.Plan(s.view(), s.usual, "new", s.Bounds); err != nil {
		return s.f, err
	}
	for ; s.now < s.Most && s.f.Took == 0; s.now += rollLossStep {
		s.turn()
		load := s.load()
		view := s.view()
		step := s.agreed.Next(s.now, view, load, s.Bounds)
		s.take(step, view, load)
		s.count()
	}
	for _, i := range s.fleet {
		if i.Release == "new" {
			s.f.Rolled += 1 / float64(len(s.fleet))
		}
	}
	return s.f, nil
}

func newRollLossRun(script RollLoss) *rollLossRun {
	s := &rollLossRun{RollLoss: script, usual: map[string]float64{}, whole: map[string]float64{}, place: map[string]int{}, agreed: rollout.New("new")}
	s.f.OverFloorMin = math.Inf(1)
	for n, p := range s.Places {
		i := rollout.Instance{Name: fmt.Sprintf("instance-%04d", n), Zone: p.Zone, Release: "old", Life: 1, Capacity: 100, Voter: p.Voter, Owner: p.Owner}
		if p.Runs {
			i.Release = "new"
		}
		s.place[i.Name] = n
		s.usual[i.Zone] += s.Load * i.Capacity
		s.whole[i.Zone] += i.Capacity
		s.fleet = append(s.fleet, rolling{Instance: i, start: -time.Hour})
	}
	return s
}

func (s *rollLossRun) inLoss() bool { return s.now >= s.At && s.now < s.At+s.For }

// turn ends drains and begins and ends the loss.
func (s *rollLossRun) turn() {
	for n := range s.fleet {
		i := &s.fleet[n]
		lost := s.Places[n].Lost
		if back := lost && i.Silent && !s.inLoss(); back && s.Places[n].ComesBackCold {
			s.restart(i)
		}
		i.Silent = lost && s.inLoss()
		if i.drained != 0 && s.now-i.drained >= s.Drain && !i.Silent {
			s.restart(i)
		}
	}
}

func (s *rollLossRun) restart(i *rolling) {
	i.Life, i.Release, i.Leaving = i.Life+1, "new", false
	i.start, i.drained = s.now, 0
}

func (s *rollLossRun) load() map[string]float64 {
	if !s.inLoss() || s.Shift == 1 {
		return s.usual
	}
	load := map[string]float64{}
	for zone, l := range s.usual {
		load[zone] = l * s.Shift
	}
	return load
}

func (s *rollLossRun) view() (out []rollout.Instance) {
	for n := range s.fleet {
		s.fleet[n].Age = s.now - s.fleet[n].start
		out = append(out, s.fleet[n].Instance)
	}
	return out
}

// take drains whom the step names, and hands the duty on where it says so.
func (s *rollLossRun) take(step rollout.Step, view []rollout.Instance, load map[string]float64) {
	s.f.Stuck = max(s.f.Stuck, len(step.Stuck))
	if step.Done && !s.inLoss() && s.now >= s.At {
		s.f.Took = s.now
	}
	if strings.HasPrefix(step.Hold, "zone ") {
		s.f.Held += rollLossStep
	}
	if step.HandOn {
		for n := range s.fleet {
			s.fleet[n].Owner = n == 1
		}
	}
	if over := s.now - s.At - s.For; over >= 0 && len(step.Drain) > 0 && s.f.ResumedWithin == 0 {
		s.f.ResumedWithin = max(over, rollLossStep)
	}
	for _, d := range step.Drain {
		n := s.place[d.Name]
		first := s.agreed.Drained(s.now, d.Name, d.Life)
		if again := s.agreed.Drained(s.now, d.Name, d.Life); !first || again { // a second owner says the same: the log takes one
			s.f.DrainedTwice++
			continue
		}
		s.fleet[n].drained, s.fleet[n].Leaving = max(s.now, 1), true
		view[n].Leaving = true
		s.f.Drains++
		if s.inLoss() {
			s.f.DrainsInLoss++
		}
		if s.underFloor(view, load, d.Zone) {
			s.f.UnderFloor++
		}
	}
}

// underFloor sums a zone up on its own, as its rule is stated.
func (s *rollLossRun) underFloor(view []rollout.Instance, load map[string]float64, zone string) bool {
	have, largest := 0.0, 0.0
	for _, i := range view {
		if i.Zone != zone || i.Silent || i.Leaving {
			continue
		}
		warm := min(1, s.Bounds.ColdFrom+(1-s.Bounds.ColdFrom)*i.Age.Seconds()/s.Bounds.WarmAfter.Seconds())
		have += i.Capacity * warm
		largest = max(largest, i.Capacity)
	}
	return have-largest < max(s.Bounds.Keep*s.whole[zone], s.Bounds.OverLoad*load[zone])-1e-6
}

func (s *rollLossRun) count() {
	voters := 0
	have, hit := map[string]float64{}, map[string]bool{}
	for n, i := range s.fleet {
		hit[i.Zone] = hit[i.Zone] || s.Places[n].Lost
		if i.Voter && i.drained != 0 {
			voters++
		}
		if i.drained == 0 && !i.Silent {
			warm := min(1, s.Bounds.ColdFrom+(1-s.Bounds.ColdFrom)*(s.now-i.start).Seconds()/s.Bounds.WarmAfter.Seconds())
			have[i.Zone] += i.Capacity * warm
		}
	}
	s.f.VotersAtOnce = max(s.f.VotersAtOnce, voters)
	for zone, whole := range s.whole {
		if !hit[zone] {
			s.f.OverFloorMin = min(s.f.OverFloorMin, have[zone]/(s.Bounds.Keep*whole))
		}
	}
}

// EveryNth marks so many voters spread over the places, the first of them the owner too.
func EveryNth(places []RollPlace, voters int) {
	for k := range voters {
		places[k*len(places)/voters].Voter = true
	}
	if at := slices.IndexFunc(places, func(p RollPlace) bool { return p.Voter }); at >= 0 {
		places[at].Owner = true
	}
}
