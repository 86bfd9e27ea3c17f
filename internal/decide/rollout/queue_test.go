package rollout

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// waveBySorting is a reference implementation of nextWave that sorts all remaining instances for each wave.
func waveBySorting(remaining []Instance, zones map[string]*zone, limits waveLimits) (names []string) {
	wavesNeeded := map[string]float64{}
	chosenCapacity := map[string]float64{}
	chosenCount := map[string]int{}
	for _, i := range remaining {
		wavesNeeded[i.Zone] += i.Capacity / max(zones[i.Zone].spareCapacity(), 1e-9)
	}
	sorted := slices.SortedFunc(slices.Values(remaining), func(x, y Instance) int {
		return cmp.Or(-cmp.Compare(wavesNeeded[x.Zone], wavesNeeded[y.Zone]), -cmp.Compare(x.Capacity, y.Capacity), cmp.Compare(x.Name, y.Name))
	})
	slices.SortStableFunc(sorted, func(x, y Instance) int {
		switch {
		case x.IsVoter == y.IsVoter:
			return 0
		case x.IsVoter:
			return -1
		}
		return 1
	})
	for _, i := range sorted {
		isLeaderBeforeEnd := i.IsLeader && len(remaining) > 1
		if len(names) == limits.maxSize || isLeaderBeforeEnd || i.IsVoter && limits.isVoterUnavailable || i.BlocksMigration {
			continue
		}
		if z := zones[i.Zone]; z.canSpare(i.Capacity, chosenCapacity[i.Zone], chosenCount[i.Zone]) {
			chosenCapacity[i.Zone] += i.Capacity
			chosenCount[i.Zone]++
			limits.isVoterUnavailable = limits.isVoterUnavailable || i.IsVoter
			names = append(names, i.Name)
		}
	}
	return names
}

// drawFleet draws a fleet of the old release with random zones and capacities, in no order of names.
func drawFleet(t *rapid.T) []Instance {
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	sizes := rapid.SampledFrom([]int{1, 3}).Draw(t, "sizes")
	fleet := make([]Instance, rapid.IntRange(1, 60).Draw(t, "size"))
	for n := range fleet {
		fleet[n] = Instance{Name: fmt.Sprintf("m%03d", (n*37)%len(fleet)*1000+n), Zone: fmt.Sprint("z", rapid.IntRange(0, zones-1).Draw(t, "zone")),
			Capacity: float64(rapid.IntRange(1, sizes).Draw(t, "capacity")) / 3, Age: time.Hour, IsVoter: n%7 == 0, IsLeader: n == 3,
			BlocksMigration: rapid.IntRange(0, 9).Draw(t, "busy") == 0, Release: "old", Incarnation: 1}
	}
	return fleet
}

var testLimits = Limits{MinCapacityFraction: 0.4, LoadHeadroom: 1.1, MaxUnavailable: 5, ReplaceTimeout: time.Minute,
	InitialCapacityFraction: 0.2, WarmUpTime: time.Second}

// The queue chooses the same waves as the reference implementation.
func TestDrainQueueMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remaining := drawFleet(t)
		zones := testLimits.zones(remaining, nil)
		queue := newDrainQueue(remaining, zones)
		limits := waveLimits{
			maxSize:            rapid.IntRange(1, 20).Draw(t, "max size"),
			isVoterUnavailable: rapid.Bool().Draw(t, "voter unavailable"),
		}
		for {
			want := waveBySorting(remaining, zones, limits)
			var got []string
			for _, w := range queue.nextWave(limits) {
				got = append(got, w.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("wave %q, want %q as chosen by waveBySorting", got, want)
			}
			if len(want) == 0 {
				return
			}
			remaining = slices.DeleteFunc(remaining, func(i Instance) bool { return slices.Contains(want, i.Name) })
		}
	})
}

// No instance is drained while as many instances as the limit allows are being replaced, or more, as after it was lowered.
func TestLoweredMaxUnavailableDrainsNobody(t *testing.T) {
	fleet := largeFleet(60, 3)
	r := New("new")
	for _, i := range fleet[:4] {
		r.RecordDrain(0, i.Name, i.Incarnation)
	}
	limits := testLimits
	for limits.MaxUnavailable = 1; limits.MaxUnavailable <= 4; limits.MaxUnavailable++ {
		if step := r.Next(0, fleet, nil, limits); len(step.Drain) > 0 || step.BlockedReason == "" {
			t.Errorf("MaxUnavailable %d with 4 being replaced: %d drained, want none; blocked reason %q",
				limits.MaxUnavailable, len(step.Drain), step.BlockedReason)
		}
	}
	if limits.MaxUnavailable = 6; len(r.Next(0, fleet, nil, limits).Drain) != 2 {
		t.Errorf("MaxUnavailable 6 with 4 being replaced: want 2 drained")
	}
}

// An instance that a slot migration waits for is drained once the migration has ended, so the plan includes it.
func TestPlanCompletesDespitePendingMigrations(t *testing.T) {
	fleet := largeFleet(60, 3)
	for n := range fleet {
		fleet[n].BlocksMigration = n%10 == 0
	}
	waves, _, err := Plan(fleet, nil, "new", testLimits)
	planned := 0
	for _, w := range waves {
		planned += len(w.Names)
	}
	if err != nil || planned != len(fleet) {
		t.Fatalf("%d of %d instances planned, error %v; want all", planned, len(fleet), err)
	}
}

// largeFleet returns a warmed-up fleet of the old release whose instances are grouped by zone. Five are voters.
func largeFleet(size, zones int) (fleet []Instance) {
	for n := range size {
		fleet = append(fleet, Instance{Name: fmt.Sprintf("instance-%04d", n), Zone: fmt.Sprintf("z%02d", n*zones/size), Release: "old", Incarnation: 1,
			Capacity: 100, Age: time.Hour, IsVoter: n%(size/5) == 0})
	}
	return fleet
}

// Draining 1,200 instances one at a time takes 1,200 waves. The memory that Plan allocates must grow with its result, not
// with the number of waves times the number of instances.
func TestPlanAllocationIsIndependentOfWaveCount(t *testing.T) {
	fleet := largeFleet(1200, 40)
	limits := testLimits
	limits.MaxUnavailable = 1
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	waves, _, err := Plan(fleet, nil, "new", limits)
	runtime.ReadMemStats(&after)
	if err != nil || len(waves) != 1200 {
		t.Fatalf("%d waves, error %v; want 1200 waves", len(waves), err)
	}
	if used := after.TotalAlloc - before.TotalAlloc; used > 16<<20 {
		t.Errorf("%d MB allocated, want at most 16", used>>20)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{150, 300, 600, 1200} {
		for _, maxUnavailable := range []int{1, 6, size / 8} {
			b.Run(fmt.Sprintf("%d members, %d at once", size, maxUnavailable), func(b *testing.B) {
				fleet := largeFleet(size, size/30)
				limits := testLimits
				limits.MaxUnavailable = maxUnavailable
				for b.Loop() {
					if _, _, err := Plan(fleet, nil, "new", limits); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
