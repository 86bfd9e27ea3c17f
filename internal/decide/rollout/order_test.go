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

// chooseBySorting is the rule as it was first written: everything sorted anew for each wave.
func chooseBySorting(todo []Instance, zones map[string]*zone, most int, voting bool) (names []string) {
	need, away, gone := map[string]float64{}, map[string]float64{}, map[string]int{}
	for _, i := range todo {
		need[i.Zone] += i.Capacity / max(zones[i.Zone].spare(), 1e-9)
	}
	order := slices.SortedFunc(slices.Values(todo), func(x, y Instance) int {
		return cmp.Or(-cmp.Compare(need[x.Zone], need[y.Zone]), -cmp.Compare(x.Capacity, y.Capacity), cmp.Compare(x.Name, y.Name))
	})
	slices.SortStableFunc(order, func(x, y Instance) int {
		switch {
		case x.Voter == y.Voter:
			return 0
		case x.Voter:
			return -1
		}
		return 1
	})
	for _, i := range order {
		if len(names) == most || i.Owner && len(todo) > 1 || i.Voter && voting || i.Busy {
			continue
		}
		if z := zones[i.Zone]; z.spares(i.Capacity, away[i.Zone], gone[i.Zone]) {
			away[i.Zone] += i.Capacity
			gone[i.Zone]++
			voting = voting || i.Voter
			names = append(names, i.Name)
		}
	}
	return names
}

func drawnFleet(t *rapid.T) []Instance {
	zones := rapid.IntRange(1, 6).Draw(t, "zones")
	sizes := rapid.SampledFrom([]int{1, 3}).Draw(t, "sizes")
	fleet := make([]Instance, rapid.IntRange(1, 60).Draw(t, "size"))
	for n := range fleet {
		fleet[n] = Instance{Name: fmt.Sprintf("m%03d", (n*37)%len(fleet)*1000+n), Zone: fmt.Sprint("z", rapid.IntRange(0, zones-1).Draw(t, "zone")),
			Capacity: float64(rapid.IntRange(1, sizes).Draw(t, "capacity")) / 3, Age: time.Hour, Voter: n%7 == 0, Owner: n == 3,
			Busy: rapid.IntRange(0, 9).Draw(t, "busy") == 0, Release: "old", Life: 1}
	}
	return fleet
}

var orderBounds = Bounds{Keep: 0.4, OverLoad: 1.1, AtOnce: 5, Longest: time.Minute, ColdFrom: 0.2, WarmAfter: time.Second}

// Wave by wave the sorted lines give what sorting all anew gives.
func TestTheOrderIsThatOfSortingAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		todo := drawnFleet(t)
		zones := orderBounds.zones(todo, nil)
		order := newOrder(todo, zones)
		most, voting := rapid.IntRange(1, 20).Draw(t, "most"), rapid.Bool().Draw(t, "voting")
		for {
			want := chooseBySorting(todo, zones, most, voting)
			var got []string
			for _, w := range order.choose(most, voting) {
				got = append(got, w.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("chosen %q, by sorting anew %q", got, want)
			}
			if len(want) == 0 {
				return
			}
			todo = slices.DeleteFunc(todo, func(i Instance) bool { return slices.Contains(want, i.Name) })
		}
	})
}

// More on their way than may be (the bound was lowered meanwhile, or another owner had a higher one): nobody goes.
func TestABoundLoweredInMidRollLetsNobodyGo(t *testing.T) {
	fleet := largeFleet(60, 3)
	r := New("new")
	for _, i := range fleet[:4] {
		r.Drained(0, i.Name, i.Life)
	}
	b := orderBounds
	for b.AtOnce = 1; b.AtOnce <= 4; b.AtOnce++ {
		if s := r.Next(0, fleet, nil, b); len(s.Drain) > 0 || s.Hold == "" {
			t.Errorf("at most %d with 4 on their way: %d drained, held for %q", b.AtOnce, len(s.Drain), s.Hold)
		}
	}
	if b.AtOnce = 6; len(r.Next(0, fleet, nil, b).Drain) != 2 {
		t.Errorf("at most 6 with 4 on their way: expected 2 drained")
	}
}

// One on whom a move waits goes in its turn, when the move is over: the plan counts it and ends.
func TestAPlanEndsThoughAMoveWaitsForSome(t *testing.T) {
	fleet := largeFleet(60, 3)
	for n := range fleet {
		fleet[n].Busy = n%10 == 0
	}
	waves, _, err := Plan(fleet, nil, "new", orderBounds)
	planned := 0
	for _, w := range waves {
		planned += len(w.Names)
	}
	if err != nil || planned != len(fleet) {
		t.Fatalf("%d of %d planned, %v", planned, len(fleet), err)
	}
}

func largeFleet(size, zones int) (out []Instance) {
	for n := range size {
		out = append(out, Instance{Name: fmt.Sprintf("instance-%04d", n), Zone: fmt.Sprintf("z%02d", n*zones/size), Release: "old", Life: 1,
			Capacity: 100, Age: time.Hour, Voter: n%(size/5) == 0})
	}
	return out
}

// A plan of 1,200 one by one is 1,200 waves: what it allocates follows what it returns, not waves times instances.
func TestAPlanOfManyWavesCopiesNobodyForEach(t *testing.T) {
	fleet := largeFleet(1200, 40)
	b := orderBounds
	b.AtOnce = 1
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	waves, _, err := Plan(fleet, nil, "new", b)
	runtime.ReadMemStats(&after)
	if err != nil || len(waves) != 1200 {
		t.Fatalf("%d waves, %v", len(waves), err)
	}
	if used := after.TotalAlloc - before.TotalAlloc; used > 16<<20 {
		t.Errorf("%d MB allocated, expected 16 at most", used>>20)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{150, 300, 600, 1200} {
		for _, atOnce := range []int{1, 6, size / 8} {
			b.Run(fmt.Sprintf("%d members, %d at once", size, atOnce), func(b *testing.B) {
				fleet, bounds := largeFleet(size, size/30), orderBounds
				bounds.AtOnce = atOnce
				for b.Loop() {
					if _, _, err := Plan(fleet, nil, "new", bounds); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
