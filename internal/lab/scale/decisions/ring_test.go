package decisions

import (
	"fmt"
	"testing"

	"thymechute/internal/decide/ring"
)

// planDigests are sums over the digests of digestsAfterLosses, recorded before the search for failover targets was optimized. Plans
// must not change between builds, as different builds can run in one fleet.
var planDigests = map[string]uint64{"alike": 0x53d5c8859716abb1, "unlike": 0x9b2f29c02689bff2}

// digestsAfterLosses returns the digest of each table planned after backends with these weights were lost or returned.
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
				table = mustPlan(t, table, remainingBackends(backends, l.backendLayout().randomLoss(kind, r)))
				key := fmt.Sprint(name, "-", l.Size, "-", seed, "-", kind)
				out[key+"-lost"] = table.Digest()
				table = mustPlan(t, table, backends)
				out[key+"-back"] = table.Digest()
			}
		}
	}
	return out
}

// mustPlan returns the next table. It fails the test unless the number of migrations is the minimum.
func mustPlan(t *testing.T, table *ring.Table, backends []ring.Backend) *ring.Table {
	next, migrations, minimum, err := table.Plan(backends, ring.BalanceBound{Slack: ringSlack}, nil)
	if err != nil || len(migrations) != minimum {
		t.Fatalf("found %d migrations, error %v, expected the minimum %d", len(migrations), err, minimum)
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
			all += digest * (uint64(len(key)) + 1) // a sum, as the iteration order of maps is random
		}
		if all != planDigests[name] {
			t.Errorf("weights %s: found digest sum %#x, expected %#x", name, all, planDigests[name])
		}
	}
}

// BenchmarkPlanOfARegionLost measures the most expensive plan, the loss of a region: at 1,200 members a quarter of 500 backends is
// removed at once, with 65,536 slots.
func BenchmarkPlanOfARegionLost(b *testing.B) {
	for _, size := range []int{240, 480, 720, 1200} {
		b.Run(fmt.Sprint(size, " members"), func(b *testing.B) {
			l := Layout{Size: size, Zones: size / membersPerZone, Regions: 4}
			table, err := l.activeTable()
			if err != nil {
				b.Fatal(err)
			}
			rest := remainingBackends(l.backends(), l.backendLayout().lossAround(lossOfRegion, 0))
			for b.Loop() {
				_, _, _, _ = table.Plan(rest, ring.BalanceBound{Slack: ringSlack}, nil)
			}
		})
	}
}
