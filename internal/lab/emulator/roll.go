// This file owns the emulated fleet on which rolls are tried: instances that drain, end, come back cold under the new
// release and warm up, zones that lose one, an owner that changes, load that rises for a while. It decides nothing.

package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymechute/internal/decide/rollout"
)

// RollFigures are a run's.
type RollFigures struct {
	Rolled        float64 // part of the instances that run the release at the end
	Waves, Bound  int     // of the plan before it began
	OverFloorMin  float64 // least of a zone's capacity, with one lost, over its floor by the usual load
	OverLoadMin   float64 // least of a zone's capacity over its load at that moment, the rise included
	DrainedTwice  int
	VotersAtOnce  int // most voters away at once by the roll
	Took          time.Duration
	RefusedSpoken bool // a floor that can't be kept was refused, with its zone, before anybody was drained
}

type rolling struct {
	rollout.Instance
	drained time.Duration // since when; 0: not
	start   time.Duration
	told    int
}

// Roll rolls a release through size instances in zones, with faults on the way: one instance of each zone dies and
// comes back after 10 s, load rises by half for 30 s, and the owner changes in mid-wave.
func Roll(size, zones int, seed uint64, faults bool) (RollFigures, error) {
	r := rand.New(rand.NewPCG(seed, 0x6011))
	const step = 100 * time.Millisecond
	b := rollout.Bounds{Keep: 0.6, OverLoad: 1.05, AtOnce: max(size/8, zones), Longest: time.Minute, ColdFrom: 0.2, WarmAfter: 16 * time.Second}
	f := RollFigures{OverFloorMin: 1e9, OverLoadMin: 1e9}
	var fleet []*rolling
	load := map[string]float64{}
	for n := range size {
		capacity := 100.0
		if n/zones%3 == 0 {
			capacity = 130
		}
		i := &rolling{Instance: rollout.Instance{Name: fmt.Sprintf("m%d", n), Zone: fmt.Sprintf("z%d", n%zones), Release: "old", Life: 1,
			Capacity: capacity, Voter: n < 5, Owner: n == 0}, start: -time.Hour}
		fleet = append(fleet, i)
		load[i.Zone] += 0.6 * capacity
	}
	usual := load
	now := time.Duration(0)
	view := func() (out []rollout.Instance) {
		for _, i := range fleet {
			i.Age = now - i.start
			out = append(out, i.Instance)
		}
		return out
	}
	waves, bound, err := rollout.Plan(view(), load, "new", b)
	if err != nil {
		return f, err
	}
	f.Waves, f.Bound = len(waves), bound
	tight := b
	tight.Keep = 0.999
	_, _, err = rollout.Plan(view(), load, "new", tight)
	f.RefusedSpoken = err != nil

	agreed := rollout.New("new")
	dead := map[string]time.Duration{} // one a zone at a time: until when it stays away
	for ; now < 2*time.Hour; now += step {
		tick := int(now / step)
		if faults && tick%600 == 300 {
			for z := range zones {
				var up []*rolling
				for _, i := range fleet {
					if i.Zone == fmt.Sprintf("z%d", z) && i.drained == 0 && !i.Silent {
						up = append(up, i)
					}
				}
				i := up[r.IntN(len(up))]
				i.Silent = true
				dead[i.Name] = now + 10*time.Second
			}
		}
		load = usual
		if faults && now >= 40*time.Second && now < 70*time.Second {
			load = map[string]float64{}
			for z, l := range usual {
				load[z] = 1.5 * l
			}
		}
		if faults && tick%250 == 249 { // the owner is lost in mid-wave; its successor goes on from the log
			for _, i := range fleet {
				i.Owner = false
			}
			fleet[r.IntN(size)].Owner = true
		}
		for _, i := range fleet {
			switch {
			case i.Silent && dead[i.Name] != 0 && now >= dead[i.Name]: // its supervisor starts what is installed
				delete(dead, i.Name)
				*i = rolling{Instance: i.Instance, start: now, told: i.told}
				i.Silent, i.Life, i.Release, i.Leaving = false, i.Life+1, "new", false
			case i.drained != 0 && now-i.drained >= 3*time.Second && !i.Silent: // drained, ended, started anew
				*i = rolling{Instance: i.Instance, start: now, told: i.told}
				i.Life, i.Release, i.Leaving = i.Life+1, "new", false
			}
		}
		if tick%10 == 0 {
			s := agreed.Next(now, view(), load, b)
			for _, d := range s.Drain {
				if !agreed.Drained(now, d.Name, d.Life) {
					continue
				}
				agreed.Drained(now, d.Name, d.Life) // a second owner says the same: the log takes one
				at := slices.IndexFunc(fleet, func(i *rolling) bool { return i.Name == d.Name })
				fleet[at].drained, fleet[at].Leaving = max(now, 1), true
				if fleet[at].told++; fleet[at].told > 1 {
					f.DrainedTwice++
				}
			}
			if s.HandOn {
				for n, i := range fleet {
					i.Owner = n == 1
				}
			}
			if s.Done {
				f.Took = now
				break
			}
		}
		voters := 0
		have, whole := map[string]float64{}, map[string]float64{}
		for _, i := range fleet {
			whole[i.Zone] += i.Capacity
			if i.Voter && i.drained != 0 {
				voters++
			}
			if i.drained == 0 && !i.Silent {
				warm := min(1, b.ColdFrom+(1-b.ColdFrom)*(now-i.start).Seconds()/b.WarmAfter.Seconds())
				have[i.Zone] += i.Capacity * warm
			}
		}
		f.VotersAtOnce = max(f.VotersAtOnce, voters)
		for z, w := range whole {
			f.OverFloorMin = min(f.OverFloorMin, have[z]/max(b.Keep*w, b.OverLoad*usual[z]))
			f.OverLoadMin = min(f.OverLoadMin, have[z]/load[z])
		}
	}
	for _, i := range fleet {
		if i.Release == "new" {
			f.Rolled += 1 / float64(size)
		}
	}
	return f, nil
}
