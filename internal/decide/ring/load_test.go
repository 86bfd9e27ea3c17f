package ring

import (
	"math/rand/v2"
	"testing"
)

// recordZipfCalls records calls on Zipf-distributed keys: the most called key gets about twenty times the mean.
func recordZipfCalls(seed uint64, table *Table, calls int, record func(slot int)) {
	z := rand.NewZipf(rand.New(rand.NewPCG(seed, 5)), 1.1, 20, 9999)
	for range calls {
		record(table.Slot("k" + string(rune(z.Uint64()))))
	}
}

func TestLoadCounterReportsTopSlotsAndResets(t *testing.T) {
	counter := NewLoadCounter(8)
	for slot, n := range []int{3, 0, 9, 1} {
		for range n {
			counter.Record(slot)
		}
	}
	top, all := counter.Report(2)
	if all != 13 || len(top) != 2 || top[0] != (SlotLoad{2, 9}) || top[1] != (SlotLoad{0, 3}) {
		t.Errorf("top slots %v, %v calls in total", top, all)
	}
	if top, all := counter.Report(2); len(top) != 0 || all != 0 {
		t.Errorf("after the reset: top slots %v, %v calls in total", top, all)
	}
	estimate := NewLoadEstimate(8)
	// The unknown slot and the negative count are ignored.
	estimate.AddPeriod([][]SlotLoad{top, {{Slot: 99, Calls: 5}, {Slot: 1, Calls: -5}}}, all+20)
	if load := estimate.PerSlot(); load[2] != 4.5+(33-12)/16.0 || load[1] != (33-12)/16.0 {
		t.Errorf("load per slot %v", load)
	}
}
