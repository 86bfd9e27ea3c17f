package ring

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testBackends(n int) (out []Backend) {
	for k := range n {
		out = append(out, Backend{Name: fmt.Sprintf("b%03d", k), Zone: fmt.Sprintf("z%d", k%3), Weight: 1})
	}
	return out
}

func mustPlan(t testing.TB, from *Table, to []Backend, bound BalanceBound) (*Table, []Migration, int) {
	next, migrations, minimum, err := from.Plan(to, bound, nil)
	if err != nil {
		t.Fatal(err)
	}
	return next, migrations, minimum
}

// Through any joins, leaves and changes of weight: every slot owned by a present backend, each backend within the
// bound, and exactly the minimum of migrations.
func TestPlanMakesFewestMigrationsWithinBalanceBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, _ := New(1 << rapid.IntRange(2, 8).Draw(t, "slots"))
		bound := BalanceBound{Slack: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slack")}
		for range 4 {
			var present []Backend
			for n, b := range testBackends(9) {
				if n == 0 || rapid.Bool().Draw(t, "present") {
					b.Weight = rapid.SampledFrom([]float64{1, 1, 2, 0.5}).Draw(t, "weight")
					present = append(present, b)
				}
			}
			var load []float64
			if rapid.Bool().Draw(t, "load") {
				load = make([]float64, table.Slots())
				for s := range load {
					load[s] = float64(s * s % 7)
				}
			}
			next, migrations, minimum, err := table.Plan(present, bound, load)
			if err != nil {
				t.Fatal(err)
			}
			owned, free := next.SlotCounts()
			total := 0.0
			for _, b := range present {
				total += b.Weight
			}
			for n, b := range next.Backends() {
				low, high := bound.slotRange(float64(table.Slots()) * b.Weight / total)
				if owned[n] < low || owned[n] > high {
					t.Fatalf("%s owns %d, want %d to %d", b.Name, owned[n], low, high)
				}
			}
			if free != 0 || len(migrations) != minimum {
				t.Fatalf("%d unassigned, %d migrations, minimum %d", free, len(migrations), minimum)
			}
			table = next
		}
	})
}

// The minimum against every assignment there is, at sizes where they can all be tried.
func TestMinMigrationsMatchesBruteForce(t *testing.T) {
	tried := 0
	for _, slots := range []int{2, 4, 8} {
		for before := 1; before <= 3; before++ {
			for after := 1; after <= 3; after++ {
				for _, slack := range []float64{0, 0.5} {
					empty, _ := New(slots)
					was, _, _ := mustPlan(t, empty, testBackends(before), BalanceBound{})
					to := testBackends(4)[4-after:] // those that stay overlap, or not at all
					if after > 1 {
						to = testBackends(after)
					}
					_, migrations, _ := mustPlan(t, was, to, BalanceBound{slack})
					best, assign := slots+1, make([]int, slots)
					for {
						count, migrated := make([]int, len(to)), 0
						for s, b := range assign {
							count[b]++
							if h, ok := was.Owner(s); !ok || h.Name != to[b].Name {
								migrated++
							}
						}
						fits := true
						for _, c := range count {
							low, high := BalanceBound{slack}.slotRange(float64(slots) / float64(len(to)))
							fits = fits && c >= low && c <= high
						}
						if fits {
							best = min(best, migrated)
						}
						tried++
						n := 0
						for n < slots && assign[n] == len(to)-1 {
							assign[n] = 0
							n++
						}
						if n == slots {
							break
						}
						assign[n]++
					}
					if len(migrations) != best {
						t.Errorf("%d slots, %d to %d backends, slack %g: %d migrations, brute force %d", slots, before, after, slack, len(migrations), best)
					}
				}
			}
		}
	}
	t.Logf("%d assignments tried", tried)
}

func TestSlotsOfFailedBackendGoToFailoverTargetsInOtherZones(t *testing.T) {
	empty, _ := New(1024)
	was, _, _ := mustPlan(t, empty, testBackends(9), BalanceBound{})
	takenByTarget, inOtherZone := 0, 0
	next, migrations, _ := mustPlan(t, was, testBackends(9)[1:], BalanceBound{Slack: 0.3})
	for _, m := range migrations {
		if m.From != "b000" {
			t.Fatalf("%+v: only the failed backend's slots need to migrate", m)
		}
		target, _ := was.FailoverTarget(m.Slot)
		if target.Zone != "z0" {
			inOtherZone++
		}
		if h, _ := next.Owner(m.Slot); h.Name == target.Name {
			takenByTarget++
		}
	}
	if inOtherZone != len(migrations) || takenByTarget < len(migrations)*9/10 {
		t.Errorf("%d migrations: %d failover targets in another zone, %d slots owned by theirs", len(migrations), inOtherZone, takenByTarget)
	}
	one, _, _ := mustPlan(t, empty, testBackends(1), BalanceBound{})
	if _, ok := one.FailoverTarget(0); ok {
		t.Error("a failover target where there is one backend")
	}
}

func TestPlanMigratesMostLoadedSlotsFromOverloadedBackend(t *testing.T) {
	empty, _ := New(64)
	was, _, _ := mustPlan(t, empty, testBackends(2), BalanceBound{})
	load := make([]float64, 64)
	for s := range load {
		if h, _ := was.Owner(s); h.Name == "b000" {
			load[s] = float64(s + 1)
		} else {
			load[s] = 0.1
		}
	}
	_, migrations, minimum, _ := was.Plan(testBackends(3), BalanceBound{}, load)
	if len(migrations) != minimum {
		t.Fatalf("%d migrations, minimum %d", len(migrations), minimum)
	}
	leastMigrated, mostKept := 1e9, 0.0
	for _, m := range migrations {
		if m.From == "b000" {
			leastMigrated = min(leastMigrated, load[m.Slot])
			load[m.Slot] = 0
		}
	}
	for s, h := range load {
		if b, _ := was.Owner(s); b.Name == "b000" {
			mostKept = max(mostKept, h)
		}
	}
	if leastMigrated < mostKept {
		t.Errorf("a slot of load %g migrated while one of %g stayed", leastMigrated, mostKept)
	}
}

func TestInvalidBackendsAndSlotCountsAreRejected(t *testing.T) {
	table, _ := New(8)
	for _, bad := range [][]Backend{nil, {{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}, {{Name: "", Weight: 1}}, {{Name: "a"}},
		{{Name: "a", Weight: -1}}, make([]Backend, MaxBackends+1)} {
		if _, _, _, err := table.Plan(bad, BalanceBound{}, nil); err == nil {
			t.Errorf("%.60v was accepted", fmt.Sprint(bad))
		}
	}
	for _, slots := range []int{0, 1, 3, MaxSlots * 2} {
		if _, err := New(slots); err == nil {
			t.Errorf("%d slots were accepted", slots)
		}
	}
}

var flapDamping = FlapDamping{DownDelay: 5 * time.Second, UpDelay: 10 * time.Second, MaxDelay: time.Minute}

func TestFlapDamperIgnoresShortOutage(t *testing.T) {
	s := NewFlapDamper(flapDamping)
	s.Observe(0, "a", Up)
	s.Observe(10*time.Second, "a", Down)
	if names, next := s.Present(14 * time.Second); len(names) != 1 || next != 15*time.Second {
		t.Errorf("%v, next %v", names, next)
	}
	s.Observe(14*time.Second, "a", Up)
	if names, next := s.Present(time.Hour); len(names) != 1 || next != 0 {
		t.Errorf("%v, next %v", names, next)
	}
}

// Up for 12 s, down for 8 s, ten times: each outage and each recovery that counts migrates slots.
func TestFlapDamperDoublesDelayOfFlappingBackend(t *testing.T) {
	s := NewFlapDamper(flapDamping)
	s.Observe(0, "a", Up)
	there, changes := true, 0
	for at := time.Duration(0); at < 200*time.Second; at += time.Second {
		s.Observe(at, "a", at%(20*time.Second) < 12*time.Second)
		if names, _ := s.Present(at); (len(names) == 1) != there {
			there, changes = !there, changes+1
		}
	}
	if changes > 3 {
		t.Errorf("%d changes in ten outages, want 3 at most", changes)
	}
	s.Observe(200*time.Second, "a", Down)
	s.Present(300 * time.Second)
	if s.Present(800 * time.Second); len(s.backends) != 0 {
		t.Error("a backend that is down for long is still tracked")
	}
}

func TestFlapDamperIsBounded(t *testing.T) {
	s := NewFlapDamper(flapDamping)
	for n := range MaxBackends {
		s.Observe(0, fmt.Sprint(n), true)
	}
	if s.Observe(0, "one too many", Up) {
		t.Error("accepted")
	}
}

func BenchmarkOwner(b *testing.B) {
	table, _ := New(MaxSlots)
	table, _, _ = mustPlan(b, table, testBackends(500), BalanceBound{})
	b.ReportAllocs()
	for b.Loop() {
		table.Owner(table.Slot("shipment-4711:17"))
	}
}

func TestOwnerLookupDoesNotAllocate(t *testing.T) {
	table, _ := New(MaxSlots)
	table, _, _ = mustPlan(t, table, testBackends(500), BalanceBound{})
	if n := testing.AllocsPerRun(100, func() { table.Owner(table.Slot("shipment-4711:17")) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
