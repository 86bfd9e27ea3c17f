package emulator

import (
	"testing"

	"thymechute/internal/decide/subset"
)

// At the rig's size the stable ranks keep the spread even and cost no more than the least a change of members must
// open; the book's ranks by name cost many times more, which is why they are not used.
func TestStableRanksHoldTheClaimAtTheRigsSize(t *testing.T) {
	for seed := range uint64(4) {
		figures, err := Subsets(24, 6, 3, seed+1, 20)
		if err != nil {
			t.Fatal(err)
		}
		by := map[subset.Way]WayFigures{}
		for _, f := range figures {
			by[f.Way] = f
		}
		if d := by[subset.WayDeterministic]; d.SpreadWorst > 1.10 || d.ChurnMembers > 1.5 {
			t.Fatalf("seed %d: stable ranks spread %.3f, churn %.2f over the least", seed+1, d.SpreadWorst, d.ChurnMembers)
		}
		if d := by[subset.WayDense]; d.ChurnMembers < 5 {
			t.Fatalf("seed %d: ranks by name churn %.2f: the measurement lost its contrast", seed+1, d.ChurnMembers)
		}
		if r := by[subset.WayRendezvous]; r.SpreadWorst < 1.2 {
			t.Fatalf("seed %d: rendezvous spread %.3f: the measurement lost its contrast", seed+1, r.SpreadWorst)
		}
	}
}
