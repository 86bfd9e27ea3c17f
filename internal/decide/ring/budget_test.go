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

func TestRampsThatAreNone(t *testing.T) {
	if err := ramp.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(r *Ramp){"first": func(r *Ramp) { r.First = 0 }, "over one": func(r *Ramp) { r.First = 2 }, "no number": func(r *Ramp) { r.First = math.NaN() },
		"up": func(r *Ramp) { r.Up = 0 }, "back": func(r *Ramp) { r.Back = 2 }, "every": func(r *Ramp) { r.Every = 0 }} {
		bad := ramp
		if change(&bad); bad.Check() == nil {
			t.Errorf("%s: %+v was taken", name, bad)
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

// guards are what a mutation takes out.
type guards struct{ shareless, leaseless, hasty, unsplit bool }

// said is an entry of the emulated log: a lot, or an acknowledgement.
type said struct {
	lot     *Lot
	process string
	sent    time.Duration // by the clock of that process
}

type sender struct {
	process      string
	rate         float64 // of its clock
	agreed       Agreed
	calls        *Calls
	at           int // entries applied
	nextAck      time.Duration
	deaf, paused bool
	joins        time.Duration
}

// flooded is a fleet that sends a cold backend as much as it may, through members that are deaf, paused, late to come and
// late to hear, owners that change, entries lost and reordered.
type flooded struct {
	r           *rand.Rand
	out         guards
	now         time.Duration // true time
	fleet       []*sender
	whole       []Backend
	slot        int // of the cold backend
	log, flight []said
	owner       *sender
	ramps       *Ramps
	heard       map[string]time.Duration // by the owner
	cycle       time.Duration
	cut, quiet  bool

	arrived       []time.Duration // within the last window
	sent, allowed int
}

func newFlooded(seed uint64, members int, out guards) *flooded {
	f := &flooded{r: rand.New(rand.NewPCG(seed, 0x40c1)), out: out, heard: map[string]time.Duration{}}
	empty, _ := New(64)
	f.whole = append(backends(4), Backend{Name: "new", Zone: "z", Weight: 1, Cold: true})
	first := slices.Clone(f.whole)
	first[4].Weight = ramp.First
	table, _, _, _ := empty.Plan(first, Band{}, nil)
	f.slot = slices.IndexFunc(table.slots, func(b int16) bool { return table.backends[b].Name == "new" })
	if out.shareless {
		table.backends[table.slots[f.slot]].Cold = false
	}
	for n := range members {
		m := &sender{process: fmt.Sprintf("m%02d", n), rate: 1 + terms.Drift*(2*f.r.Float64()-1), agreed: Agreed{Table: table}, calls: NewCalls(table)}
		if n%8 == 7 {
			m.joins = 4 * time.Second
		}
		f.fleet = append(f.fleet, m)
	}
	f.owner, f.ramps = f.fleet[0], NewRamps(0, ramp, budget, terms)
	f.cycle = time.Duration(2+f.r.IntN(8)) * time.Second
	return f
}

func (f *flooded) clock(m *sender) time.Duration { return time.Duration(float64(f.now) * m.rate) }

// faults begin and end.
func (f *flooded) faults() {
	if f.r.IntN(300) == 0 {
		f.quiet = !f.quiet && f.r.IntN(3) == 0 // nobody calls; then all do at once
	}
	if f.cut != (f.now%f.cycle > f.cycle/4) { // most of the fleet hears nothing for a while, then all of it at once
		f.cut = !f.cut
		for _, m := range f.fleet[len(f.fleet)/8:] {
			m.deaf = f.cut
		}
	}
	switch m, what := f.fleet[f.r.IntN(len(f.fleet))], f.r.IntN(1000); {
	case what < 20:
		m.deaf = f.r.IntN(4) == 0
	case what < 40:
		m.paused = f.r.IntN(4) == 0
	case what < 43 && !m.paused && !m.deaf && f.now >= m.joins && m.at == len(f.log):
		f.owner, f.ramps = m, NewRamps(f.clock(m), ramp, budget, terms)
	}
}

// travel brings entries into the log, some of them late or never.
func (f *flooded) travel() {
	for len(f.flight) > 0 && f.r.IntN(12) > 0 {
		n := f.r.IntN(len(f.flight))
		if f.r.IntN(30) > 0 {
			f.log = append(f.log, f.flight[n])
		}
		f.flight = slices.Delete(f.flight, n, n+1)
	}
}

func (f *flooded) apply(m *sender, e said) {
	if e.lot == nil {
		m.agreed.Acknowledged(e.process)
		if e.process == m.process {
			m.calls.Confirmed(e.sent, terms)
		}
		if m == f.owner {
			f.heard[e.process] = f.now
		}
		return
	}
	if !m.agreed.Grant(*e.lot) {
		return
	}
	if m == f.owner {
		if f.ramps.Granted(f.clock(m)); f.out.hasty {
			f.ramps.due -= budget.Every * 3 / 4
		}
	}
	shares := e.lot.Shares(m.agreed.Roster, m.process)
	if f.out.unsplit && shares != nil {
		shares["new"] = e.lot.Calls[0].Calls
	}
	if m.calls.Granted(shares); f.out.leaseless && shares != nil {
		m.calls.shares["new"].until = time.Hour
	}
}

// member hears, acknowledges and calls as much as it may.
func (f *flooded) member(m *sender) {
	for !m.deaf && m.at < len(f.log) && f.r.IntN(10) > 0 {
		f.apply(m, f.log[m.at])
		m.at++
	}
	if f.clock(m) >= m.nextAck {
		f.flight = append(f.flight, said{process: m.process, sent: f.clock(m)})
		m.nextAck = f.clock(m) + terms.Length/5
	}
	for n := 0; n < 3 && !f.quiet; n++ {
		if _, _, v := m.calls.May(f.clock(m), f.slot, false); v == Go {
			f.arrived, f.sent = append(f.arrived, f.now), f.sent+1
		}
	}
}

func (f *flooded) own() {
	f.ramps.Weighted(f.clock(f.owner), f.whole, f.owner.agreed.Table)
	if p := f.ramps.paces["new"]; p != nil {
		f.allowed = max(f.allowed, budget.Of(p.part))
	}
	there := func(process string) bool { return f.now-f.heard[process] < 2*terms.Length }
	if l, due := f.ramps.Next(f.clock(f.owner), &f.owner.agreed, there); due {
		f.flight = append(f.flight, said{lot: &l})
	}
}

// flood runs such a fleet for 15 s. It returns the calls sent, and the most by which those of all members together within
// a window exceeded the budget that the ramp allowed by its end.
func flood(seed uint64, members int, out guards) (sent, over int) {
	f := newFlooded(seed, members, out)
	for f.now < 15*time.Second {
		f.now += 5 * time.Millisecond
		f.faults()
		f.travel()
		for _, m := range f.fleet {
			if !m.paused && f.now >= m.joins {
				f.member(m)
			}
		}
		if !f.owner.paused && !f.owner.deaf {
			f.own()
		}
		for len(f.arrived) > 0 && f.arrived[0] <= f.now-budget.Window {
			f.arrived = f.arrived[1:]
		}
		over = max(over, len(f.arrived)-f.allowed)
	}
	return f.sent, over
}

// A window may hold lots of two parts of the ramp, each cut down to whole calls: one call at most over the later budget.
const rounding = 1

func TestColdBackendGetsNoMoreThanItsBudgetFromTheWholeFleet(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 30).Draw(t, "members")
		sent, over := flood(rapid.Uint64().Draw(t, "seed"), members, guards{})
		if total += sent; over > rounding {
			t.Errorf("%d members: %d calls over the budget of a window", members, over)
		}
	})
	if total < 1000 {
		t.Errorf("only %d calls sent in all", total)
	}
}

// The mutations that the check must notice.
func TestWithoutEachGuardABudgetIsExceeded(t *testing.T) {
	for name, out := range map[string]guards{"no shares": {shareless: true}, "shares that outlive the lease": {leaseless: true},
		"lots said too soon": {hasty: true}, "a lot for each member": {unsplit: true}} {
		worst := 0
		for seed := range uint64(60) {
			_, over := flood(seed, 24, out)
			worst = max(worst, over)
		}
		if worst <= rounding {
			t.Errorf("%s: never over the budget by more than %d, so the check sees nothing", name, worst)
		}
		t.Logf("%s: over by %d", name, worst)
	}
}
