package emulator

import (
	"testing"

	"thymechute/internal/decide/subset"
)

// At the rig's size the stable ranks keep the load even and open no more than the minimum for a change of members; ranks
// by name, as in the SRE book, open many times more, which is why they are not used.
func TestStableRanksMeetClaimAtRigSize(t *testing.T) {
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
			t.Fatalf("seed %d: stable ranks spread %.3f, churn %.2f over the minimum", seed+1, d.WorstImbalance, d.MemberChurn)
		}
		if d := by[subset.StrategyNameOrder]; d.MemberChurn < 5 {
			t.Fatalf("seed %d: ranks by name churn %.2f: the measurement lost its contrast", seed+1, d.MemberChurn)
		}
		if r := by[subset.StrategyRendezvous]; r.WorstImbalance < 1.2 {
			t.Fatalf("seed %d: rendezvous spread %.3f: the measurement lost its contrast", seed+1, r.WorstImbalance)
		}
	}
}
