package ring

import (
	"math/rand/v2"
	"testing"
	"time"
)

var worth = Worth{High: 1.2, Low: 1.05, Most: 20, Stall: 500 * time.Millisecond, Horizon: time.Minute}

// zipf plays calls on the keys of a site: a hot key is some twenty times the mean.
func zipf(seed uint64, table *Table, calls int, called func(slot int)) {
	z := rand.NewZipf(rand.New(rand.NewPCG(seed, 5)), 1.1, 20, 9999)
	for range calls {
		called(table.Slot("k" + string(rune(z.Uint64()))))
	}
}

func TestCountsAreReportedHottestFirstAndBeginAnew(t *testing.T) {
	c := NewCounts(8)
	for slot, n := range []int{3, 0, 9, 1} {
		for range n {
			c.Called(slot)
		}
	}
	hot, all := c.Take(2)
	if all != 13 || len(hot) != 2 || hot[0] != (Load{2, 9}) || hot[1] != (Load{0, 3}) {
		t.Errorf("%v of %v", hot, all)
	}
	if hot, all := c.Take(2); len(hot) != 0 || all != 0 {
		t.Errorf("%v of %v", hot, all)
	}
	h := NewHeat(8)
	h.Period([][]Load{hot, {{Slot: 99, Calls: 5}, {Slot: 1, Calls: -5}}}, all+20) // a member that lies costs nothing
	if s := h.Slots(); s[2] != 4.5+(33-12)/16.0 || s[1] != (33-12)/16.0 {
		t.Errorf("%v", s)
	}
}

func TestHeatIsRelievedByFewMovesThatPay(t *testing.T) {
	for seed := range uint64(10) {
		empty, _ := New(1024)
		table, _, _ := planned(t, empty, backends(9), Band{})
		h, counts := NewHeat(1024), NewCounts(1024)
		for range 6 {
			zipf(seed, table, 20_000, counts.Called)
			hot, all := counts.Take(256)
			h.Period([][]Load{hot}, all)
		}
		before := table.HottestOver(h.Slots())
		next, moves := table.Relieve(h.Slots(), Band{Slack: 0.2}, worth)
		after := next.HottestOver(h.Slots())
		if before > worth.High && (after >= before || len(moves) == 0) || len(moves) > worth.Most {
			t.Errorf("seed %d: %.3f to %.3f by %d moves", seed, before, after, len(moves))
		}
		t.Logf("seed %d: hottest over mean %.3f to %.3f by %d moves", seed, before, after, len(moves))
		if again, more := next.Relieve(h.Slots(), Band{Slack: 0.2}, worth); len(more) > 0 && again.HottestOver(h.Slots()) >= after {
			t.Errorf("seed %d: %d more moves for nothing", seed, len(more))
		}
	}
}

func TestOneSlotHotterThanTheGapStays(t *testing.T) {
	empty, _ := New(8)
	table, _, _ := planned(t, empty, backends(2), Band{})
	heat := make([]float64, 8)
	hot := 0
	for s := range heat {
		if b, _ := table.Holder(s); b.Name == "b000" {
			hot = s
		}
	}
	heat[hot] = 100 // alone: moving it moves the heat
	if _, moves := table.Relieve(heat, Band{Slack: 0.5}, worth); len(moves) != 0 {
		t.Errorf("%v", moves)
	}
	for s := range heat {
		if b, _ := table.Holder(s); b.Name == "b000" && s != hot {
			heat[s] = 10
		}
	}
	next, moves := table.Relieve(heat, Band{Slack: 0.5}, worth)
	if b, _ := next.Holder(hot); b.Name != "b000" || len(moves) == 0 {
		t.Errorf("the others should leave the hot one alone: %v", moves)
	}
	dear := worth
	dear.Stall = 2 * time.Minute // a move costs more than it relieves
	if _, moves := table.Relieve(heat, Band{Slack: 0.5}, dear); len(moves) != 0 {
		t.Errorf("moved at a loss: %v", moves)
	}
	if _, moves := table.Relieve(make([]float64, 8), Band{}, worth); len(moves) != 0 {
		t.Errorf("moved without any heat: %v", moves)
	}
}
