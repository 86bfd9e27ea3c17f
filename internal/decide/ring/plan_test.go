package ring

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// After any backends join, leave or change weight, each slot is owned by a present backend, each backend is within the
// balance bound, and exactly the minimum number of migrations is made.
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
					t.Fatalf("%s owns %d slots, want %d to %d", b.Name, owned[n], low, high)
				}
			}
			if free != 0 || len(migrations) != minimum {
				t.Fatalf("%d slots unassigned, %d migrations, minimum %d", free, len(migrations), minimum)
			}
			table = next
		}
	})
}

// Plan makes as few migrations as the best of all assignments, for tables small enough to try all of them.
func TestMinMigrationsMatchesBruteForce(t *testing.T) {
	total := 0
	for _, slots := range []int{2, 4, 8} {
		for before := 1; before <= 3; before++ {
			for after := 1; after <= 3; after++ {
				for _, slack := range []float64{0, 0.5} {
					empty, _ := New(slots)
					previous, _, _ := mustPlan(t, empty, testBackends(before), BalanceBound{})
					to := testBackends(4)[4-after:] // a single backend afterwards is a new one
					if after > 1 {
						to = testBackends(after)
					}
					_, migrations, _ := mustPlan(t, previous, to, BalanceBound{slack})
					fewest, tried := fewestMigrations(previous, to, BalanceBound{slack})
					total += tried
					if len(migrations) != fewest {
						t.Errorf("%d slots, %d to %d backends, slack %g: %d migrations, brute force %d", slots, before, after, slack, len(migrations), fewest)
					}
				}
			}
		}
	}
	t.Logf("%d assignments tried", total)
}

// fewestMigrations tries all assignments. It returns the fewest migrations to any within the bound, and the number tried.
func fewestMigrations(previous *Table, to []Backend, bound BalanceBound) (fewest, tried int) {
	slots := previous.Slots()
	low, high := bound.slotRange(float64(slots) / float64(len(to)))
	fewest = slots + 1
	for assignment := make([]int, slots); ; {
		count, migrated := make([]int, len(to)), 0
		for slot, b := range assignment {
			count[b]++
			if owner, ok := previous.Owner(slot); !ok || owner.Name != to[b].Name {
				migrated++
			}
		}
		if slices.Min(count) >= low && slices.Max(count) <= high {
			fewest = min(fewest, migrated)
		}
		tried++
		if !nextAssignment(assignment, len(to)) {
			return fewest, tried
		}
	}
}

// nextAssignment advances the assignment like a counter, and returns false after the last one.
func nextAssignment(assignment []int, backends int) bool {
	for slot := range assignment {
		if assignment[slot] < backends-1 {
			assignment[slot]++
			return true
		}
		assignment[slot] = 0
	}
	return false
}

func TestPlanMigratesMostLoadedSlotsFromOverloadedBackend(t *testing.T) {
	empty, _ := New(64)
	previous, _, _ := mustPlan(t, empty, testBackends(2), BalanceBound{})
	load := make([]float64, 64)
	for s := range load {
		if h, _ := previous.Owner(s); h.Name == "b000" {
			load[s] = float64(s + 1)
		} else {
			load[s] = 0.1
		}
	}
	_, migrations, minimum, _ := previous.Plan(testBackends(3), BalanceBound{}, load)
	if len(migrations) != minimum {
		t.Fatalf("%d migrations, minimum %d", len(migrations), minimum)
	}
	leastMigrated, mostRemaining := 1e9, 0.0
	for _, m := range migrations {
		if m.From == "b000" {
			leastMigrated = min(leastMigrated, load[m.Slot])
			load[m.Slot] = 0
		}
	}
	for s, h := range load {
		if b, _ := previous.Owner(s); b.Name == "b000" {
			mostRemaining = max(mostRemaining, h)
		}
	}
	if leastMigrated < mostRemaining {
		t.Errorf("a slot of load %g migrated while one of %g stayed", leastMigrated, mostRemaining)
	}
}
