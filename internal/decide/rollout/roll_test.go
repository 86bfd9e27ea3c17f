package rollout_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymechute/internal/decide/rollout"
	"thymechute/internal/lab/emulator"
)

var bounds = rollout.Bounds{Keep: 0.5, OverLoad: 1.1, AtOnce: 3, Longest: time.Minute, ColdFrom: 0.2, WarmAfter: 10 * time.Second}

func fleet(n, zones int, capacity func(int) float64) (out []rollout.Instance) {
	for k := range n {
		out = append(out, rollout.Instance{Name: fmt.Sprint("m", k), Zone: fmt.Sprint("z", k%zones), Release: "old", Life: 1,
			Capacity: capacity(k), Age: time.Hour})
	}
	return out
}

func alike(int) float64 { return 1 }

// The fewest waves there are, by trying every set at every wave.
func fewest(todo uint, fits func(uint) bool, known map[uint]int) int {
	if todo == 0 {
		return 0
	}
	if n, ok := known[todo]; ok {
		return n
	}
	best := 99
	for set := todo; set > 0; set = (set - 1) & todo {
		if fits(set) {
			best = min(best, 1+fewest(todo&^set, fits, known))
		}
	}
	known[todo] = best
	return best
}

func TestPlanHasAsFewWavesAsThereCanBe(t *testing.T) {
	plans, more := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		f := fleet(rapid.IntRange(3*zones, 9).Draw(t, "size"), zones, func(k int) float64 {
			return float64(rapid.IntRange(1, 3).Draw(t, "capacity"))
		})
		for n := range f {
			f[n].Voter = n < 3
		}
		b := bounds
		b.Keep, b.AtOnce = rapid.SampledFrom([]float64{0.1, 0.3, 0.5}).Draw(t, "keep"), rapid.IntRange(1, 4).Draw(t, "at once")
		waves, bound, err := rollout.Plan(f, nil, "new", b)
		if err != nil {
			var r *rollout.Refusal
			if !errors.As(err, &r) || r.Has >= r.Needs+r.Away {
				t.Fatalf("refused for nothing: %v", err)
			}
			return
		}
		fits := func(set uint) bool {
			voters, count := 0, 0
			away, whole, largest, gone, all := map[string]float64{}, map[string]float64{}, map[string]float64{}, map[string]int{}, map[string]int{}
			for n, i := range f {
				whole[i.Zone] += i.Capacity
				largest[i.Zone] = max(largest[i.Zone], i.Capacity)
				if all[i.Zone]++; set&(1<<n) != 0 {
					away[i.Zone] += i.Capacity
					gone[i.Zone]++
					if count++; i.Voter {
						voters++
					}
				}
			}
			for z, w := range whole {
				if w-away[z]-largest[z] < b.Keep*w-1e-9 || gone[z] == all[z] {
					return false
				}
			}
			return voters <= 1 && count <= b.AtOnce
		}
		best := fewest(1<<len(f)-1, fits, map[uint]int{})
		drained := map[string]int{}
		for _, w := range waves {
			set := uint(0)
			for _, name := range w.Names {
				drained[name]++
				set |= 1 << slices.IndexFunc(f, func(i rollout.Instance) bool { return i.Name == name })
			}
			if !fits(set) {
				t.Fatalf("wave %v breaks a bound", w.Names)
			}
		}
		if len(drained) != len(f) || bound > best || len(waves) > best+1 {
			t.Fatalf("%d of %d drained in %d waves, fewest %d, bound %d", len(drained), len(f), len(waves), best, bound)
		}
		if plans++; len(waves) > best {
			more++
		}
	})
	t.Logf("%d plans, %d with one wave more than the fewest", plans, more)
	if more*10 > plans {
		t.Errorf("%d of %d plans have a wave too many", more, plans)
	}
}

func TestAFloorThatCannotBeKeptIsRefusedWithItsZone(t *testing.T) {
	b := bounds
	b.Keep = 0.9
	_, _, err := rollout.Plan(fleet(9, 3, alike), map[string]float64{"z1": 1}, "new", b)
	if err == nil || !strings.Contains(err.Error(), "zone z") || !strings.Contains(err.Error(), "missing") {
		t.Errorf("%v", err)
	}
	if _, _, err := rollout.Plan(fleet(9, 3, alike), map[string]float64{"z1": 1}, "new", bounds); err == nil {
		t.Error("a zone of three at a load of one, with 1.1 over it and one to lose, gave one away")
	}
}

func TestEachStepIsLetGoOnlyOnTheStateAsItIs(t *testing.T) {
	f := fleet(12, 3, alike) // four a zone: floor 2, one to lose, one to drain
	r := rollout.New("new")
	first := r.Next(0, f, nil, bounds)
	if len(first.Drain) != 3 {
		t.Fatalf("%+v", first)
	}
	for _, d := range first.Drain {
		if !r.Drained(0, d.Name, d.Life) || r.Drained(0, d.Name, d.Life) {
			t.Errorf("%s: told not once", d.Name)
		}
	}
	if s := r.Next(time.Second, f, nil, bounds); len(s.Drain) != 0 || s.Hold == "" {
		t.Errorf("three are on their way: %+v", s)
	}
	back := func(age time.Duration) []rollout.Instance {
		g := slices.Clone(f)
		for n := range g {
			if slices.ContainsFunc(first.Drain, func(d rollout.Instance) bool { return d.Name == g[n].Name }) {
				g[n].Life, g[n].Release, g[n].Age = 2, "new", age
			}
		}
		return g
	}
	if s := r.Next(5*time.Second, back(time.Second), nil, bounds); len(s.Drain) != 0 || !strings.Contains(s.Hold, "zone") {
		t.Errorf("three are back cold: %+v", s)
	}
	if s := r.Next(20*time.Second, back(time.Hour), nil, bounds); len(s.Drain) != 3 {
		t.Errorf("all warm again: %+v", s)
	}
	load := map[string]float64{"z0": 2.5, "z1": 2.5, "z2": 2.5}
	if s := r.Next(20*time.Second, back(time.Hour), load, bounds); len(s.Drain) != 0 || !strings.Contains(s.Hold, "zone") {
		t.Errorf("load has risen: %+v", s)
	}
	silent := back(time.Hour)
	silent[5].Silent = true // of z2
	if s := r.Next(20*time.Second, silent, nil, bounds); len(s.Drain) != 2 || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.Zone == "z2" }) {
		t.Errorf("a zone that has lost one gives no other: %+v", s)
	}
}

func TestVotersOneAtATimeAndTheOwnerLast(t *testing.T) {
	f := fleet(12, 3, alike)
	f[0].Voter, f[1].Voter, f[2].Owner = true, true, true
	r := rollout.New("new")
	if s := r.Next(0, f, nil, bounds); len(s.Drain) != 3 || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.Owner || i.Name == "m1" }) {
		t.Errorf("%+v", s)
	}
	f[3].Silent, f[3].Voter = true, true
	if s := r.Next(0, f, nil, bounds); slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.Voter }) {
		t.Errorf("a voter is silent, and another goes: %+v", s)
	}
	f[3].Silent = false
	for n := range f {
		if !f[n].Owner {
			f[n].Release = "new"
		}
	}
	if s := r.Next(0, f, nil, bounds); !s.HandOn || len(s.Drain) != 0 {
		t.Errorf("the owner is left alone: %+v", s)
	}
}

// Seen on processes under load: a voter back under a new life no longer voted, its dead one still did, and the next
// voter was drained: two of three gone from the log.
func TestADeadLifeThatStillVotesIsAVoterAway(t *testing.T) {
	f := fleet(12, 3, alike)
	f[0].Voter, f[1].Voter = true, true
	f = append(f, rollout.Instance{Name: "m9#1", Silent: true, Voter: true})
	if s := rollout.New("new").Next(0, f, nil, bounds); len(s.Drain) == 0 || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.Voter }) {
		t.Errorf("%+v", s)
	}
}

func TestTheWayBackAndWhoIsStuck(t *testing.T) {
	f := fleet(12, 3, alike)
	r := rollout.New("new")
	for _, d := range r.Next(0, f, nil, bounds).Drain {
		r.Drained(0, d.Name, d.Life)
	}
	if s := r.Next(2*time.Minute, f, nil, bounds); len(s.Stuck) != 3 || len(s.Drain) != 0 {
		t.Errorf("three never ended: %+v", s)
	}
	f[0].Life = 2 // ended, and came back with the old release
	if s := r.Next(time.Second, f, nil, bounds); !slices.Contains(s.Stuck, "m0") || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.Name == "m0" }) {
		t.Errorf("one came back as it was: %+v", s)
	}
	f[1].Life, f[1].Release = 2, "new"
	r.Wanted("old")
	s := r.Next(time.Hour, f, nil, bounds)
	if len(s.Drain) != 1 || s.Drain[0].Name != "m1" {
		t.Errorf("back to the old release, only m1 goes: %+v", s)
	}
	r.Wanted("")
	if s := r.Next(time.Hour, f, nil, bounds); !s.Done {
		t.Errorf("nothing is wanted: %+v", s)
	}
}

func TestASnapshotKnowsWhoWasTold(t *testing.T) {
	r := rollout.New("new")
	r.Drained(0, "m0", 1)
	b, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back := rollout.New("")
	if err := back.Decode(time.Second, b); err != nil || back.Want != "new" || back.Drained(2*time.Second, "m0", 1) || !back.Drained(0, "m0", 2) {
		t.Errorf("%v: %+v", err, back)
	}
	if back.Decode(0, []byte("no")) == nil || back.Want != "new" {
		t.Error("what is none of ours was taken")
	}
}

func TestEmulatedRollThroughFaults(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		f, err := emulator.Roll(24, 3, seed, true)
		if err != nil {
			t.Fatal(err)
		}
		if f.OverFloorMin < 1 || f.Rolled < 1-1e-9 || f.DrainedTwice > 0 || f.VotersAtOnce > 1 || !f.RefusedSpoken {
			t.Errorf("seed %d: %+v", seed, f)
		}
	}
}
