package ring

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var budget = Budget{Calls: 100, Window: time.Second, Every: 250 * time.Millisecond}

func TestBudgetsThatAreNone(t *testing.T) {
	if err := budget.Check(); err != nil {
		t.Error(err)
	}
	for _, b := range []Budget{{}, {0, time.Second, time.Second}, {1, 0, time.Second}, {1, time.Second, 0}, {1, time.Second, 2 * time.Second}} {
		if b.Check() == nil {
			t.Errorf("%+v was taken", b)
		}
	}
}

// As many lots in a row as can be used within one window hold the budget, and none of it is lost.
func TestLotsOfAWindowHoldItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Calls: rapid.IntRange(1, 5000).Draw(t, "calls"), Window: time.Duration(rapid.IntRange(1, 5000).Draw(t, "window")) * time.Millisecond}
		b.Every = time.Duration(rapid.IntRange(1, int(b.Window/time.Millisecond)).Draw(t, "every")) * time.Millisecond
		l := Terms{Length: time.Duration(rapid.IntRange(1, 5000).Draw(t, "lease")) * time.Millisecond, Drift: rapid.Float64Range(0, 0.5).Draw(t, "drift")}
		part := rapid.Float64Range(0, 1).Draw(t, "part")
		from, sum, over := rapid.Uint64Range(0, 1<<32).Draw(t, "from"), 0, b.overlap(l)
		for n := range over {
			sum += b.lot(from+n, part, l)
		}
		if sum != b.Of(part) {
			t.Errorf("%d lots from %d hold %d, want %d", over, from, sum, b.Of(part))
		}
		// Entries lie Every apart by the fastest clock, and each is used until less than a lease after it.
		if most := float64(b.Window+l.Length) / (float64(b.Every) / (1 + l.Drift)); float64(over) < most {
			t.Errorf("%g lots can be used within a window, counted as %d", most, over)
		}
	})
}

func TestLotsAreSplitWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var roster []string
		for n := range rapid.IntRange(1, 60).Draw(t, "members") {
			roster = append(roster, fmt.Sprintf("m%02d", n))
		}
		l := Lot{Number: rapid.Uint64().Draw(t, "number"), Calls: []LotCalls{{"a", rapid.IntRange(0, 300).Draw(t, "a")}, {"b", rapid.IntRange(0, 300).Draw(t, "b")}}}
		for _, c := range l.Calls {
			sum, least, most := 0, math.MaxInt, 0
			for _, process := range roster {
				n := l.Shares(roster, process)[c.Backend]
				sum, least, most = sum+n, min(least, n), max(most, n)
			}
			if sum != c.Calls || most > least+1 {
				t.Errorf("%d of %s split into %d, from %d to %d", c.Calls, c.Backend, sum, least, most)
			}
		}
		if l.Shares(roster, "who") != nil {
			t.Error("one that is not on the roster has a share")
		}
	})
}

// Shares under one call: over many lots each member has its turn.
func TestEachHasItsTurnWhereLotsAreSmall(t *testing.T) {
	roster, had := []string{"a", "b", "c", "d", "e", "f", "g", "h"}, map[string]int{}
	for n := range uint64(800) {
		for _, process := range roster {
			had[process] += Lot{Number: n, Calls: []LotCalls{{"x", 1}}}.Shares(roster, process)["x"]
		}
	}
	for _, process := range roster {
		if had[process] < 70 || had[process] > 130 {
			t.Errorf("of 800 calls %s had %d: %v", process, had[process], had)
		}
	}
}

// faults are what the sums must bear, and the guards that a mutation takes out.
type faults struct {
	members                              int
	shareless, leaseless, hasty, unsplit bool
}

// said is an entry of the emulated log.
type said struct {
	lot     *Lot
	process string        // of an acknowledgement
	sent    time.Duration // by its clock
}

type sender struct {
	process      string
	rate         float64
	agreed       Agreed
	calls        *Calls
	at           int // entries applied
	nextAck      time.Duration
	deaf, paused bool
	joins        time.Duration
}

// flood lets a fleet send a cold backend as much as it may, through members that are deaf, paused, late to come and
// late to hear, owners that change, entries lost and reordered. It returns the calls sent, and the most by which those
// of all members together within a window exceeded the budget that the ramp allowed by its end.
func flood(seed uint64, f faults) (sent, over int) {
	r := rand.New(rand.NewPCG(seed, 0x40c1))
	empty, _ := New(64)
	whole := append(backends(4), Backend{Name: "new", Zone: "z", Weight: 1, Cold: true})
	first := slices.Clone(whole)
	first[4].Weight = ramp.First
	table, _, _, _ := empty.Plan(first, Band{}, nil)
	slot := slices.IndexFunc(table.slots, func(b int16) bool { return table.backends[b].Name == "new" })
	if f.shareless {
		table.backends[slices.IndexFunc(table.backends, func(b Backend) bool { return b.Cold })].Cold = false
	}
	var log, flight []said
	var fleet []*sender
	for n := range f.members {
		m := &sender{process: fmt.Sprintf("m%02d", n), rate: 1 + terms.Drift*(2*r.Float64()-1), agreed: Agreed{Table: table}, calls: NewCalls(table)}
		if n%8 == 7 {
			m.joins = 4 * time.Second
		}
		fleet = append(fleet, m)
	}
	now, owner := time.Duration(0), fleet[0]
	clock := func(m *sender) time.Duration { return time.Duration(float64(now) * m.rate) }
	ramps := NewRamps(0, ramp, budget, terms)
	heard := map[string]time.Duration{} // by the owner
	var arrived []time.Duration         // in the last window
	cycle := time.Duration(2+r.IntN(8)) * time.Second
	allowed, quiet, cut := 0, false, false
	for range 3000 {
		now += 5 * time.Millisecond
		if r.IntN(300) == 0 {
			quiet = !quiet && r.IntN(3) == 0 // nobody calls; then all do at once
		}
		if was := cut; was != (now%cycle > cycle/4) { // most of the fleet hears nothing for a while, then all of it at once
			cut = !was
			for _, m := range fleet[len(fleet)/8:] {
				m.deaf = cut
			}
		}
		for len(flight) > 0 && r.IntN(12) > 0 {
			n := r.IntN(len(flight))
			if r.IntN(30) > 0 {
				log = append(log, flight[n])
			}
			flight = slices.Delete(flight, n, n+1)
		}
		for _, m := range fleet {
			if m.paused || now < m.joins {
				continue
			}
			for !m.deaf && m.at < len(log) && r.IntN(10) > 0 {
				e := log[m.at]
				m.at++
				if e.lot == nil {
					m.agreed.Acknowledged(e.process)
					if e.process == m.process {
						m.calls.Confirmed(e.sent, terms)
					}
					if m == owner {
						heard[e.process] = now
					}
					continue
				}
				if !m.agreed.Grant(*e.lot) {
					continue
				}
				if m == owner {
					if ramps.Granted(clock(m)); f.hasty {
						ramps.due -= budget.Every * 3 / 4
					}
				}
				shares := e.lot.Shares(m.agreed.Roster, m.process)
				if f.unsplit && shares != nil {
					shares["new"] = e.lot.Calls[0].Calls
				}
				if m.calls.Granted(shares); f.leaseless && shares != nil {
					m.calls.shares["new"].until = time.Hour
				}
			}
			if clock(m) >= m.nextAck {
				flight = append(flight, said{process: m.process, sent: clock(m)})
				m.nextAck = clock(m) + terms.Length/5
			}
			for range 3 {
				if quiet {
					break
				}
				if _, _, v := m.calls.May(clock(m), slot, false); v == Go {
					arrived, sent = append(arrived, now), sent+1
				}
			}
		}
		if !owner.paused && !owner.deaf {
			ramps.Weighted(clock(owner), whole, owner.agreed.Table)
			if p := ramps.paces["new"]; p != nil {
				allowed = max(allowed, budget.Of(p.part))
			}
			if l, due := ramps.Next(clock(owner), &owner.agreed, func(p string) bool { return now-heard[p] < 2*terms.Length }); due {
				flight = append(flight, said{lot: &l})
			}
		}
		for len(arrived) > 0 && arrived[0] <= now-budget.Window {
			arrived = arrived[1:]
		}
		over = max(over, len(arrived)-allowed)
		switch m, what := fleet[r.IntN(len(fleet))], r.IntN(1000); {
		case what < 20:
			m.deaf = r.IntN(4) == 0
		case what < 40:
			m.paused = r.IntN(4) == 0
		case what < 43 && !m.paused && !m.deaf && now >= m.joins && m.at == len(log):
			owner, ramps = m, NewRamps(clock(m), ramp, budget, terms)
		}
	}
	return sent, over
}

// A window may hold lots of two parts of the ramp, each cut down to whole calls: one call at most over the later budget.
const rounding = 1

func TestColdBackendGetsNoMoreThanItsBudgetFromTheWholeFleet(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		f := faults{members: rapid.IntRange(1, 30).Draw(t, "members")}
		sent, over := flood(rapid.Uint64().Draw(t, "seed"), f)
		if total += sent; over > rounding {
			t.Errorf("%d members: %d calls over the budget of a window", f.members, over)
		}
	})
	if total < 1000 {
		t.Errorf("only %d calls sent in all", total)
	}
}

// The mutations that the check must notice.
func TestWithoutEachGuardABudgetIsExceeded(t *testing.T) {
	for name, f := range map[string]faults{"no shares": {shareless: true}, "shares that outlive the lease": {leaseless: true},
		"lots said too soon": {hasty: true}, "a lot for each member": {unsplit: true}} {
		f.members = 24
		worst := 0
		for seed := range uint64(60) {
			_, over := flood(seed, f)
			worst = max(worst, over)
		}
		if worst <= rounding {
			t.Errorf("%s: never over the budget by more than %d, so the check sees nothing", name, worst)
		}
		t.Logf("%s: over by %d", name, worst)
	}
}
