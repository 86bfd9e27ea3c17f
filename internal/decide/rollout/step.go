// This file owns carrying a roll out. It must never drain a process twice, nor let one go on a plan's word alone.

package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Roll is what the log knows of the roll under way: the same in every member, so that a new owner goes on with it.
type Roll struct {
	Want    string
	drained map[process]time.Duration // when, by the clock of whoever asks
	tries   map[string]int            // of a name, for this release
}

type process struct {
	name string
	life uint64
}

// mostTries is how often a name is drained for one release: one that comes back with the old one is not asked again.
const mostTries = 1

// New is a roll towards a release; "" wants nothing.
func New(want string) *Roll {
	return &Roll{Want: want, drained: map[process]time.Duration{}, tries: map[string]int{}}
}

// Wanted: the operators want another release, maybe the old one back. Those drained stay as they are; whoever runs
// another release than this one is to be drained, so the order turns round.
func (r *Roll) Wanted(release string) {
	if release != r.Want {
		*r = *New(release)
	}
}

// Drained is an entry of the log: this process is to drain. False where it was told before, by this owner or
// another, or too many are known.
func (r *Roll) Drained(now time.Duration, name string, life uint64) bool {
	p := process{name, life}
	if _, twice := r.drained[p]; twice || len(r.drained) >= MostInstances {
		return false
	}
	r.drained[p] = now
	r.tries[name]++
	return true
}

// Step is what the owner does now: drain these, or hold for a reason.
type Step struct {
	Drain []Instance // to be proposed to the log, one entry each
	Hold  string     // why no more go now; "" where some do, or where Done
	Stuck []string   // drained longer than the longest wait ago, or back with the old release
	// HandOn: only the owner itself is left. It gives its duty up, and its successor drains it.
	HandOn bool
	Done   bool // all that can be rolled run the release, none is on its way
}

// Next judges the fleet as it is now. What has been told to drain counts as away until it is back with another life.
func (r *Roll) Next(now time.Duration, fleet []Instance, load map[string]float64, b Bounds) Step {
	var s Step
	state := slices.Clone(fleet)
	var todo []Instance
	onWay, voting := 0, false
	for n := range state {
		i := &state[n]
		since, told := r.drained[process{i.Name, i.Life}]
		switch {
		case told:
			i.Leaving = true
			if now-since > b.Longest {
				s.Stuck = append(s.Stuck, i.Name)
			}
			onWay++
			voting = voting || i.Voter
		case i.Silent || i.Leaving:
			voting = voting || i.Voter // one that is gone for another reason: no second one now
		case r.Want != "" && i.Release != r.Want:
			if r.tries[i.Name] >= mostTries {
				s.Stuck = append(s.Stuck, i.Name)
				continue
			}
			todo = append(todo, *i)
		}
	}
	if len(todo) == 0 {
		s.Done = onWay == 0
		if !s.Done {
			s.Hold = fmt.Sprintf("%d on their way", onWay)
		}
		return s
	}
	if len(todo) == 1 && todo[0].Owner {
		if s.HandOn = onWay == 0; !s.HandOn {
			s.Hold = fmt.Sprintf("%d on their way before the owner hands on", onWay)
		}
		return s
	}
	if onWay >= b.AtOnce {
		s.Hold = fmt.Sprintf("%d on their way, at most %d", onWay, b.AtOnce)
		return s
	}
	zones := b.zones(state, load)
	chosen := newOrder(todo, zones).choose(b.AtOnce-onWay, voting)
	slices.SortFunc(chosen, func(x, y *waiting) int { return x.place - y.place })
	for _, w := range chosen {
		s.Drain = append(s.Drain, w.Instance)
	}
	if len(chosen) == 0 {
		s.Hold = why(todo, zones)
	}
	return s
}

// why no one of todo may go now, in one line.
func why(todo []Instance, zones map[string]*zone) string {
	i := todo[0]
	if z := zones[i.Zone]; !z.spares(i.Capacity, 0, 0) {
		return fmt.Sprintf("zone %s has %.6g of capacity, expected %.6g and %.6g for %s", z.name, z.have, z.floor+z.largest, i.Capacity, i.Name)
	}
	return fmt.Sprintf("%s waits: another voter is away, a move waits for it, or it owns the roll", i.Name)
}

type encoded struct {
	Want    string
	Drained []told
	Tries   map[string]int
}

type told struct {
	Name string
	Life uint64
	At   time.Duration
}

// Encode is the roll for a snapshot.
func (r *Roll) Encode() ([]byte, error) {
	e := encoded{Want: r.Want, Tries: r.tries}
	for p, at := range r.drained {
		e.Drained = append(e.Drained, told{p.name, p.life, at})
	}
	slices.SortFunc(e.Drained, func(x, y told) int { return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Life, y.Life)) })
	return json.Marshal(e)
}

// Decode takes a snapshot; whoever was told to drain is taken to have been told now. Errors: not one of ours; then
// nothing changed.
func (r *Roll) Decode(now time.Duration, b []byte) error {
	var e encoded
	if err := json.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("roll: found no JSON object (%w)", err)
	}
	if len(e.Drained) > MostInstances {
		return fmt.Errorf("roll: found %d drained, expected at most %d", len(e.Drained), MostInstances)
	}
	*r = *New(e.Want)
	for _, d := range e.Drained {
		r.drained[process{d.Name, d.Life}] = now
	}
	for name, n := range e.Tries {
		r.tries[name] = n
	}
	return nil
}
