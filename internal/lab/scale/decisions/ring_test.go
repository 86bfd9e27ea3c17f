package decisions

import (
	"fmt"
	"testing"

	"thymechute/internal/decide/ring"
)

// planDigests are sums over the digests of the tables of digestsAfterLosses, recorded before the search for failover targets was
// made faster. All builds that run in one fleet make the same plan.
var planDigests = map[string]uint64{"alike": 0x53d5c8859716abb1, "unlike": 0x9b2f29c02689bff2}

// digestsAfterLosses returns the digest of each table that follows a loss of backends or their return, on rings with these weights.
func digestsAfterLosses(t *testing.T, name string, weight func(n int) float64) map[string]uint64 {
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

// mustPlan returns the next table, and fails the test unless it has the fewest migrations.
func mustPlan(t *testing.T, table *ring.Table, backends []ring.Backend) *ring.Table {
	next, migrations, minimum, err := table.Plan(backends, ring.BalanceBound{Slack: ringSlack}, nil)
	if err != nil || len(migrations) != minimum {
		t.Fatalf("%d migrations, minimum %d, %v", len(migrations), minimum, err)
	}
	return next
}

func TestPlanDigestsAreStable(t *testing.T) {
	weights := map[string]func(n int) float64{
		"alike":  func(int) float64 { return 1 },
		"unlike": func(n int) float64 { return float64(1 + n%3) },
	}
	for name, weight := range weights {
		all := uint64(0)
		for key, digest := range digestsAfterLosses(t, name, weight) {
			all += digest * (uint64(len(key)) + 1) // a sum, as maps have no order
		}
		if all != planDigests[name] {
			t.Errorf("%s: digest %#x, expected %#x", name, all, planDigests[name])
		}
	}
}

// BenchmarkPlanOfARegionLost measures the longest plan: a quarter of 500 backends is removed at once, with 65,536 slots.
func BenchmarkPlanOfARegionLost(b *testing.B) {
	for _, size := range []int{240, 480, 720, 1200} {
		b.Run(fmt.Sprint(size, " members"), func(b *testing.B) {
			l := Layout{Size: size, Zones: size / membersPerZone, Regions: 4}
			table, err := l.table()
			if err != nil {
				b.Fatal(err)
			}
			rest := without(l.backends(), l.backendLosses().lossAround(lossOfRegion, 0))
			for b.Loop() {
				_, _, _, _ = table.Plan(rest, ring.BalanceBound{Slack: ringSlack}, nil)
			}
		})
	}
}
