package ring

import (
	"slices"
	"testing"
	"time"
)

func coldTable(t *testing.T, want []Backend) *Table {
	empty, _ := New(64)
	table, _, _ := planned(t, empty, want, Band{})
	return table
}

func TestColdBackendRisesAndAnotherOwnerGoesOnFromItsPart(t *testing.T) {
	want := append(backends(2), Backend{Name: "new", Weight: 2, Cold: true})
	table := coldTable(t, backends(2))
	r := NewRamps(0, ramp, budget, terms)
	for _, c := range []struct {
		at     time.Duration
		weight float64
		cold   bool
	}{{0, 0.2, true}, {900 * time.Millisecond, 0.2, true}, {time.Second, 0.6, true}, {2 * time.Second, 1, true}} {
		weighted := r.Weighted(c.at, want, table)
		if got := weighted[2]; got.Weight < c.weight-1e-9 || got.Weight > c.weight+1e-9 || got.Cold != c.cold {
			t.Errorf("at %v: %+v, want weight %g", c.at, got, c.weight)
		}
		if weighted[0] != want[0] || !want[2].Cold || want[2].Weight != 2 {
			t.Errorf("at %v: the others, or what was asked for, have changed", c.at)
		}
		table = coldTable(t, weighted)
	}
	next := NewRamps(0, ramp, budget, terms)
	if got := next.Weighted(0, want, table)[2]; got.Weight != 1 || !got.Cold {
		t.Errorf("another owner begins with %+v", got)
	}
	for at := time.Second; at <= 3*time.Second; at += time.Second {
		next.Weighted(at, want, table)
	}
	whole := next.Weighted(4*time.Second, want, table)
	if whole[2].Weight != 2 || whole[2].Cold {
		t.Errorf("at its whole part it is %+v", whole[2])
	}
	if warm := coldTable(t, whole); !warm.Warmed(table) || table.Warmed(table) || next.Weighted(0, want, warm)[2].Cold {
		t.Error("one that stands warm in the table is cold again, or its warming is no change")
	}
	if next.Weighted(0, want[:2], table); len(next.paces) != 0 {
		t.Error("the pace of one that is gone stays")
	}
}

func TestLotIsSaidAgainUntilItIsInTheLogAndNoSoonerThanEvery(t *testing.T) {
	want := append(backends(2), Backend{Name: "new", Weight: 1, Cold: true})
	r := NewRamps(0, ramp, budget, terms)
	a := &Agreed{Table: coldTable(t, r.Weighted(0, want, coldTable(t, backends(2))))}
	for _, process := range []string{"c", "a", "b", "a"} {
		a.Acknowledged(process)
	}
	there := func(process string) bool { return process != "b" }
	if _, due := r.Next(budget.Every-1, a, there); due {
		t.Error("a new owner says a lot at once")
	}
	first, due := r.Next(budget.Every, a, there)
	if !due || first.Number != 1 || len(first.Calls) != 1 || !slices.Equal(first.Gone, []string{"b"}) {
		t.Fatalf("%+v, %v", first, due)
	}
	if _, due := r.Next(budget.Every+terms.Length/4-1, a, there); due {
		t.Error("said again too soon")
	}
	if again, due := r.Next(budget.Every+terms.Length/4, a, there); !due || again.Number != 1 {
		t.Errorf("said again: %+v, %v", again, due)
	}
	if !a.Grant(first) || a.Grant(first) || !slices.Equal(a.Roster, []string{"a", "c"}) {
		t.Errorf("a lot counts twice, or the roster is %v", a.Roster)
	}
	r.Granted(time.Second)
	if _, due := r.Next(time.Second+budget.Every-1, a, there); due {
		t.Error("the next is said too soon")
	}
	if next, _ := r.Next(time.Second+budget.Every, a, there); next.Number != 2 {
		t.Errorf("next: %+v", next)
	}
	a.Table = coldTable(t, backends(2))
	if _, due := r.Next(time.Hour, a, there); due {
		t.Error("a lot without a cold backend")
	}
}

func TestRosterIsThatOfAColdTableAndInSnapshots(t *testing.T) {
	want := append(backends(2), Backend{Name: "new", Weight: 1, Cold: true})
	a := Agreed{Table: coldTable(t, backends(2))}
	if a.Acknowledged("a"); a.Roster != nil {
		t.Error("a roster without a cold backend")
	}
	a.Table = coldTable(t, want)
	a.Acknowledged("a")
	a.Acknowledged("b")
	a.Left("who")
	a.Grant(Lot{Number: 1})
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var back Agreed
	if err := back.Decode(b); err != nil || !slices.Equal(back.Roster, a.Roster) || back.Lot != 1 || !back.Table.Cold() ||
		back.Table.Digest() != a.Table.Digest() || back.Table.Digest() == coldTable(t, append(want[:2:2], Backend{Name: "new", Weight: 1})).Digest() {
		t.Errorf("%v: %+v", err, back)
	}
	if back.Decode([]byte(`{"Table":{"Slots":"AAAAAA=="},"Roster":["b","a"]}`)) == nil {
		t.Error("a roster out of order was taken")
	}
	warm, moves, _ := planned(t, a.Table, append(want[:2:2], Backend{Name: "new", Weight: 1}), Band{})
	if a.Freeze(warm, nil); len(moves) != 0 || !a.Open(warm.Version) || a.Roster != nil {
		t.Errorf("%d moves, the roster of a warm table: %v", len(moves), a.Roster)
	}
}

func TestCallsToAColdBackendAreThoseOfTheLot(t *testing.T) {
	table := coldTable(t, []Backend{{Name: "new", Weight: 1, Cold: true}})
	c := NewCalls(table)
	granted := map[string]int{"new": 2}
	for _, twice := range []bool{false, true} {
		if _, _, v := c.May(0, 0, twice); v != Warming {
			t.Errorf("verdict %d without a lot", v)
		}
	}
	if c.Granted(granted); c.until != 0 {
		t.Error("a lot is a lease")
	}
	c.Confirmed(time.Second, terms) // after the lot, so it says nothing of how old that is
	if _, _, v := c.May(time.Second, 0, true); v != Warming {
		t.Errorf("verdict %d by a lot from before any lease", v)
	}
	c.Granted(granted)
	c.Confirmed(2*time.Second, terms) // a later lease does not make a lot younger
	held := time.Second + terms.holds()
	for n, want := range []Verdict{Go, Go, Warming} {
		if _, until, v := c.May(time.Second, 0, n == 0); v != want || v == Go && until != held {
			t.Errorf("call %d: verdict %d until %v", n, v, until)
		}
	}
	c.Granted(granted)
	if c.Granted(nil); c.shares["new"] != nil {
		t.Error("a lot without a share for it leaves the last one's")
	}
	c.shares["new"] = &share{left: 1, until: held}
	if _, _, v := c.May(held, 0, true); v != Warming {
		t.Errorf("verdict %d past the lease that the lot was heard under", v)
	}
}
