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

var limits = rollout.Limits{MinCapacityFraction: 0.5, LoadHeadroom: 1.1, MaxUnavailable: 3, ReplaceTimeout: time.Minute, InitialCapacityFraction: 0.2, WarmUpTime: 10 * time.Second}

func newFleet(n, zones int, capacity func(int) float64) (out []rollout.Instance) {
	for k := range n {
		out = append(out, rollout.Instance{Name: fmt.Sprint("m", k), Zone: fmt.Sprint("z", k%zones), Release: "old", Incarnation: 1,
			Capacity: capacity(k), Age: time.Hour})
	}
	return out
}

func equalCapacity(int) float64 { return 1 }

// fewestWaves tries every set at every wave.
func fewestWaves(todo uint, fits func(uint) bool, known map[uint]int) int {
	if todo == 0 {
		return 0
	}
	if n, ok := known[todo]; ok {
		return n
	}
	best := 99
	for set := todo; set > 0; set = (set - 1) & todo {
		if fits(set) {
			best = min(best, 1+fewestWaves(todo&^set, fits, known))
		}
	}
	known[todo] = best
	return best
}

// zoneWave is what a wave takes from one zone.
type zoneWave struct {
	total, drained, largest     float64 // capacity
	instances, drainedInstances int
}

// fitsInWave states the limits independently of the plan: may the instances of a bit set drain together?
func fitsInWave(fleet []rollout.Instance, set uint, limits rollout.Limits) bool {
	voters, count, zones := 0, 0, map[string]*zoneWave{}
	for n, i := range fleet {
		z := zones[i.Zone]
		if z == nil {
			z = &zoneWave{}
			zones[i.Zone] = z
		}
		z.total += i.Capacity
		z.largest = max(z.largest, i.Capacity)
		z.instances++
		if set&(1<<n) == 0 {
			continue
		}
		z.drained += i.Capacity
		z.drainedInstances++
		count++
		if i.IsVoter {
			voters++
		}
	}
	for _, z := range zones {
		if z.total-z.drained-z.largest < limits.MinCapacityFraction*z.total-1e-9 || z.drainedInstances == z.instances {
			return false
		}
	}
	return voters <= 1 && count <= limits.MaxUnavailable
}

func TestPlanIsNearFewestWaves(t *testing.T) {
	plans, more := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		f := newFleet(rapid.IntRange(3*zones, 9).Draw(t, "size"), zones, func(k int) float64 {
			return float64(rapid.IntRange(1, 3).Draw(t, "capacity"))
		})
		for n := range f {
			f[n].IsVoter = n < 3
		}
		b := limits
		b.MinCapacityFraction, b.MaxUnavailable = rapid.SampledFrom([]float64{0.1, 0.3, 0.5}).Draw(t, "capacity fraction"), rapid.IntRange(1, 4).Draw(t, "unavailable")
		waves, bound, err := rollout.Plan(f, nil, "new", b)
		if err != nil {
			var r *rollout.InsufficientCapacityError
			if !errors.As(err, &r) || r.Available >= r.Required+r.DrainCapacity {
				t.Fatalf("rejected without a reason: %v", err)
			}
			return
		}
		fits := func(set uint) bool { return fitsInWave(f, set, b) }
		best := fewestWaves(1<<len(f)-1, fits, map[uint]int{})
		drained := map[string]int{}
		for _, w := range waves {
			set := uint(0)
			for _, name := range w.Names {
				drained[name]++
				set |= 1 << slices.IndexFunc(f, func(i rollout.Instance) bool { return i.Name == name })
			}
			if !fits(set) {
				t.Fatalf("wave %v exceeds a limit", w.Names)
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

func TestPlanRejectsZoneWithoutSpareCapacity(t *testing.T) {
	b := limits
	b.MinCapacityFraction = 0.9
	_, _, err := rollout.Plan(newFleet(9, 3, equalCapacity), map[string]float64{"z1": 1}, "new", b)
	if err == nil || !strings.Contains(err.Error(), "zone z") || !strings.Contains(err.Error(), "missing") {
		t.Errorf("%v", err)
	}
	if _, _, err := rollout.Plan(newFleet(9, 3, equalCapacity), map[string]float64{"z1": 1}, "new", limits); err == nil {
		t.Error("a zone of three at a load of one, with 1.1 required and one to lose, was drained of one")
	}
}

func TestNextJudgesPresentState(t *testing.T) {
	f := newFleet(12, 3, equalCapacity) // four a zone: 2 required, one to lose, one to drain
	r := rollout.New("new")
	first := r.Next(0, f, nil, limits)
	if len(first.Drain) != 3 {
		t.Fatalf("%+v", first)
	}
	for _, d := range first.Drain {
		if !r.RecordDrain(0, d.Name, d.Incarnation) || r.RecordDrain(0, d.Name, d.Incarnation) {
			t.Errorf("%s: not drained exactly once", d.Name)
		}
	}
	if s := r.Next(time.Second, f, nil, limits); len(s.Drain) != 0 || s.BlockedReason == "" {
		t.Errorf("three are being replaced: %+v", s)
	}
	back := func(age time.Duration) []rollout.Instance {
		g := slices.Clone(f)
		for n := range g {
			if slices.ContainsFunc(first.Drain, func(d rollout.Instance) bool { return d.Name == g[n].Name }) {
				g[n].Incarnation, g[n].Release, g[n].Age = 2, "new", age
			}
		}
		return g
	}
	if s := r.Next(5*time.Second, back(time.Second), nil, limits); len(s.Drain) != 0 || !strings.Contains(s.BlockedReason, "zone") {
		t.Errorf("three are back and not warmed up: %+v", s)
	}
	if s := r.Next(20*time.Second, back(time.Hour), nil, limits); len(s.Drain) != 3 {
		t.Errorf("all warmed up again: %+v", s)
	}
	load := map[string]float64{"z0": 2.5, "z1": 2.5, "z2": 2.5}
	if s := r.Next(20*time.Second, back(time.Hour), load, limits); len(s.Drain) != 0 || !strings.Contains(s.BlockedReason, "zone") {
		t.Errorf("load has risen: %+v", s)
	}
	withUnreachable := back(time.Hour)
	withUnreachable[5].IsUnreachable = true // of z2
	if s := r.Next(20*time.Second, withUnreachable, nil, limits); len(s.Drain) != 2 || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.Zone == "z2" }) {
		t.Errorf("a zone that has lost one drains another: %+v", s)
	}
}

func TestVotersDrainOneAtATimeAndLeaderLast(t *testing.T) {
	f := newFleet(12, 3, equalCapacity)
	f[0].IsVoter, f[1].IsVoter, f[2].IsLeader = true, true, true
	r := rollout.New("new")
	if s := r.Next(0, f, nil, limits); len(s.Drain) != 3 || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.IsLeader || i.Name == "m1" }) {
		t.Errorf("%+v", s)
	}
	f[3].IsUnreachable, f[3].IsVoter = true, true
	if s := r.Next(0, f, nil, limits); slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.IsVoter }) {
		t.Errorf("a voter is unreachable, and another drains: %+v", s)
	}
	f[3].IsUnreachable = false
	for n := range f {
		if !f[n].IsLeader {
			f[n].Release = "new"
		}
	}
	if s := r.Next(0, f, nil, limits); !s.TransferLeadership || len(s.Drain) != 0 {
		t.Errorf("only the leader is left: %+v", s)
	}
}

// Seen on processes under load: a restarted voter no longer voted, its ended incarnation still did, and the next
// voter was drained: two of three gone from the log.
func TestVoterOfEndedIncarnationCountsAsUnavailable(t *testing.T) {
	f := newFleet(12, 3, equalCapacity)
	f[0].IsVoter, f[1].IsVoter = true, true
	f = append(f, rollout.Instance{Name: "m9#1", IsUnreachable: true, IsVoter: true})
	if s := rollout.New("new").Next(0, f, nil, limits); len(s.Drain) == 0 || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.IsVoter }) {
		t.Errorf("%+v", s)
	}
}

func TestRollbackAndStuckInstances(t *testing.T) {
	f := newFleet(12, 3, equalCapacity)
	r := rollout.New("new")
	for _, d := range r.Next(0, f, nil, limits).Drain {
		r.RecordDrain(0, d.Name, d.Incarnation)
	}
	if s := r.Next(2*time.Minute, f, nil, limits); len(s.Stuck) != 3 || len(s.Drain) != 0 {
		t.Errorf("three never ended: %+v", s)
	}
	f[0].Incarnation = 2 // ended, and came back with the old release
	if s := r.Next(time.Second, f, nil, limits); !slices.Contains(s.Stuck, "m0") || slices.ContainsFunc(s.Drain, func(i rollout.Instance) bool { return i.Name == "m0" }) {
		t.Errorf("one restarted with the old release: %+v", s)
	}
	f[1].Incarnation, f[1].Release = 2, "new"
	r.SetRelease("old")
	s := r.Next(time.Hour, f, nil, limits)
	if len(s.Drain) != 1 || s.Drain[0].Name != "m1" {
		t.Errorf("back to the old release, only m1 drains: %+v", s)
	}
	r.SetRelease("")
	if s := r.Next(time.Hour, f, nil, limits); !s.IsDone {
		t.Errorf("nothing is wanted: %+v", s)
	}
}

func TestSnapshotKeepsDrains(t *testing.T) {
	r := rollout.New("new")
	r.RecordDrain(0, "m0", 1)
	b, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded := rollout.New("")
	if err := decoded.Decode(time.Second, b); err != nil || decoded.Release != "new" || decoded.RecordDrain(2*time.Second, "m0", 1) || !decoded.RecordDrain(0, "m0", 2) {
		t.Errorf("%v: %+v", err, decoded)
	}
	if decoded.Decode(0, []byte("no")) == nil || decoded.Release != "new" {
		t.Error("an invalid snapshot was accepted")
	}
}

func TestEmulatedRolloutThroughFaults(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		f, err := emulator.Rollout(emulator.RolloutScenario{Instances: 24, Zones: 3, Seed: seed, WithFaults: true})
		if err != nil {
			t.Fatal(err)
		}
		if f.MinCapacityOverRequired < 1 || f.CompletedFraction < 1-1e-9 || f.DuplicateDrains > 0 || f.MaxVotersDraining > 1 || !f.IsInfeasibleRejected {
			t.Errorf("seed %d: %+v", seed, f)
		}
	}
}
