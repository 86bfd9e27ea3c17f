package emulator

import (
	"testing"

	"thymechute/internal/decide/subset"
)

// With the 24 members and 6 backends of a test fleet, stable ranks keep the load even and open at most 1.5 times the minimum of
// connections when a member joins or leaves. Ranks by name, as in the SRE book, open many times more, which is why they are not
// used.
func TestStableRanksKeepLoadEvenAndOpenFewConnections(t *testing.T) {
	for seed := range uint64(4) {
		figures, err := CompareSubsets(SubsetOptions{Members: 24, Backends: 6, SubsetSize: 3, Seed: seed + 1, MaxMeasuredSteps: 20})
		if err != nil {
			t.Fatal(err)
		}
		by := map[subset.Strategy]StrategyFigures{}
		for _, f := range figures {
			by[f.Strategy] = f
		}
		if d := by[subset.StrategyDeterministic]; d.WorstImbalance > 1.10 || d.MemberChurn > 1.5 {
			t.Fatalf("seed %d: stable ranks: load imbalance %.3f, connections opened %.2f times the minimum; expected at most 1.10 and 1.5",
				seed+1, d.WorstImbalance, d.MemberChurn)
		}
		if d := by[subset.StrategyNameOrder]; d.MemberChurn < 5 {
			t.Fatalf("seed %d: ranks by name open %.2f times the minimum of connections; expected at least 5, to tell strategies apart",
				seed+1, d.MemberChurn)
		}
		if r := by[subset.StrategyRendezvous]; r.WorstImbalance < 1.2 {
			t.Fatalf("seed %d: rendezvous: load imbalance %.3f; expected at least 1.2, to tell strategies apart",
				seed+1, r.WorstImbalance)
		}
	}
}
