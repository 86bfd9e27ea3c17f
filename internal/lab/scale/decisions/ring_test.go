package decisions

import (
	"fmt"
	"testing"

	"thymechute/internal/decide/ring"
)

// planDigests are of the tables that follow each loss and return below, taken from the plan as it was before its search for
// failover targets was made faster: a plan must come out the same in every build of a fleet.
var planDigests = map[string]uint64{"alike": 0x53d5c8859716abb1, "unlike": 0x9b2f29c02689bff2}

// losses plays each kind of loss and return on a ring of these weights, and gives each table's digest.
func losses(t *testing.T, name string, weight func(n int) float64) map[string]uint64 {
	out := map[string]uint64{}
	for _, l := range []Layout{{Size: 240, Zones: 8, Regions: 4}, {Size: 360, Zones: 10, Regions: 4}} {
		backends := l.backends()
		for n := range backends {
			backends[n].Weight = weight(n)
		}
		empty, err := ring.New(l.slots())
		if err != nil {
			t.Fatal(err)
		}
		table := mustPlan(t, empty, backends)
		for seed := range uint64(3) {
			r := newRandom(seed, 0x41a7)
			for _, kind := range lossKinds {
				table = mustPlan(t, table, without(backends, l.backendLosses().randomLoss(kind, r)))
				key := fmt.Sprint(name, "-", l.Size, "-", seed, "-", kind)
				out[key+"-lost"] = table.Digest()
				table = mustPlan(t, table, backends)
				out[key+"-back"] = table.Digest()
			}
		}
	}
	return out
}

func mustPlan(t *testing.T, table *ring.Table, backends []ring.Backend) *ring.Table {
	next, migrations, minimum, err := table.Plan(backends, ring.BalanceBound{Slack: ringSlack}, nil)
	if err != nil || len(migrations) != minimum {
		t.Fatalf("%d migrations, minimum %d, %v", len(migrations), minimum, err)
	}
	return next
}

func TestPlanDigestsAreStable(t *testing.T) {
	for name, weight := range map[string]func(int) float64{"alike": func(int) float64 { return 1 }, "unlike": func(n int) float64 { return float64(1 + n%3) }} {
		all := uint64(0)
		for key, digest := range losses(t, name, weight) {
			all += digest * (uint64(len(key)) + 1) // in any order
		}
		if all != planDigests[name] {
			t.Errorf("%s: digest %#x, expected %#x", name, all, planDigests[name])
		}
	}
}

// BenchmarkPlanOfARegionLost is the longest plan: a quarter of 500 backends gone at once, 65,536 slots.
func BenchmarkPlanOfARegionLost(b *testing.B) {
	for _, size := range []int{240, 480, 720, 1200} {
		b.Run(fmt.Sprint(size, " members"), func(b *testing.B) {
			l := Layout{Size: size, Zones: size / membersPerZone, Regions: 4}
			table, err := l.table()
			if err != nil {
				b.Fatal(err)
			}
			rest := without(l.backends(), l.backendLosses().lossAround("region", 0))
			for b.Loop() {
				_, _, _, _ = table.Plan(rest, ring.BalanceBound{Slack: ringSlack}, nil)
			}
		})
	}
}
