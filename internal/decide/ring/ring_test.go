package ring

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func backends(n int) (out []Backend) {
	for k := range n {
		out = append(out, Backend{Name: fmt.Sprintf("b%03d", k), Zone: fmt.Sprintf("z%d", k%3), Weight: 1})
	}
	return out
}

func planned(t testing.TB, from *Table, to []Backend, band Band) (*Table, []Move, int) {
	next, moves, least, err := from.Plan(to, band, nil)
	if err != nil {
		t.Fatal(err)
	}
	return next, moves, least
}

// Through any joins, leaves and changes of weight: every slot held by one that is there, each backend within the
// band, and exactly the least moves.
func TestPlanMovesTheLeastWithinTheBand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, _ := New(1 << rapid.IntRange(2, 8).Draw(t, "slots"))
		band := Band{Slack: rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slack")}
		for range 4 {
			var there []Backend
			for n, b := range backends(9) {
				if n == 0 || rapid.Bool().Draw(t, "there") {
					b.Weight = rapid.SampledFrom([]float64{1, 1, 2, 0.5}).Draw(t, "weight")
					there = append(there, b)
				}
			}
			var heat []float64
			if rapid.Bool().Draw(t, "heat") {
				heat = make([]float64, table.Slots())
				for s := range heat {
					heat[s] = float64(s * s % 7)
				}
			}
			next, moves, least, err := table.Plan(there, band, heat)
			if err != nil {
				t.Fatal(err)
			}
			held, free := next.Counts()
			total := 0.0
			for _, b := range there {
				total += b.Weight
			}
			for n, b := range next.Backends() {
				low, high := band.of(float64(table.Slots()) * b.Weight / total)
				if held[n] < low || held[n] > high {
					t.Fatalf("%s holds %d, want %d to %d", b.Name, held[n], low, high)
				}
			}
			if free != 0 || len(moves) != least {
				t.Fatalf("%d without a holder, %d moves, least %d", free, len(moves), least)
			}
			table = next
		}
	})
}

// Least against every assignment there is, at sizes where they can all be tried.
func TestLeastIsWhatBruteForceFinds(t *testing.T) {
	tried := 0
	for _, slots := range []int{2, 4, 8} {
		for before := 1; before <= 3; before++ {
			for after := 1; after <= 3; after++ {
				for _, slack := range []float64{0, 0.5} {
					empty, _ := New(slots)
					was, _, _ := planned(t, empty, backends(before), Band{})
					to := backends(4)[4-after:] // those that stay overlap, or not at all
					if after > 1 {
						to = backends(after)
					}
					_, moves, _ := planned(t, was, to, Band{slack})
					best, assign := slots+1, make([]int, slots)
					for {
						count, moved := make([]int, len(to)), 0
						for s, b := range assign {
							count[b]++
							if h, ok := was.Holder(s); !ok || h.Name != to[b].Name {
								moved++
							}
						}
						fits := true
						for _, c := range count {
							low, high := Band{slack}.of(float64(slots) / float64(len(to)))
							fits = fits && c >= low && c <= high
						}
						if fits {
							best = min(best, moved)
						}
						tried++
						n := 0
						for n < slots && assign[n] == len(to)-1 {
							assign[n] = 0
							n++
						}
						if n == slots {
							break
						}
						assign[n]++
					}
					if len(moves) != best {
						t.Errorf("%d slots, %d to %d backends, slack %g: %d moves, brute force %d", slots, before, after, slack, len(moves), best)
					}
				}
			}
		}
	}
	t.Logf("%d assignments tried", tried)
}

func TestADeadBackendsSlotsGoToTheirHeirsInOtherZones(t *testing.T) {
	empty, _ := New(1024)
	was, _, _ := planned(t, empty, backends(9), Band{})
	heirs, far := 0, 0
	next, moves, _ := planned(t, was, backends(9)[1:], Band{Slack: 0.3})
	for _, m := range moves {
		if m.From != "b000" {
			t.Fatalf("%+v: only the dead one's slots need to move", m)
		}
		heir, _ := was.Heir(m.Slot)
		if heir.Zone != "z0" {
			far++
		}
		if h, _ := next.Holder(m.Slot); h.Name == heir.Name {
			heirs++
		}
	}
	if far != len(moves) || heirs < len(moves)*9/10 {
		t.Errorf("%d moves: %d heirs in another zone, %d slots taken by theirs", len(moves), far, heirs)
	}
	one, _, _ := planned(t, empty, backends(1), Band{})
	if _, ok := one.Heir(0); ok {
		t.Error("an heir where there is one backend")
	}
}

func TestHotSlotsLeaveTheHotBackend(t *testing.T) {
	empty, _ := New(64)
	was, _, _ := planned(t, empty, backends(2), Band{})
	heat := make([]float64, 64)
	for s := range heat {
		if h, _ := was.Holder(s); h.Name == "b000" {
			heat[s] = float64(s + 1)
		} else {
			heat[s] = 0.1
		}
	}
	_, moves, least, _ := was.Plan(backends(3), Band{}, heat)
	if len(moves) != least {
		t.Fatalf("%d moves, least %d", len(moves), least)
	}
	coolest, hottest := 1e9, 0.0
	for _, m := range moves {
		if m.From == "b000" {
			coolest = min(coolest, heat[m.Slot])
			heat[m.Slot] = 0
		}
	}
	for s, h := range heat {
		if b, _ := was.Holder(s); b.Name == "b000" {
			hottest = max(hottest, h)
		}
	}
	if coolest < hottest {
		t.Errorf("a slot of heat %g left while one of %g stayed", coolest, hottest)
	}
}

func TestFaultyBackendsAreNamed(t *testing.T) {
	table, _ := New(8)
	for _, bad := range [][]Backend{nil, {{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}, {{Name: "", Weight: 1}}, {{Name: "a"}},
		{{Name: "a", Weight: -1}}, make([]Backend, MostBackends+1)} {
		if _, _, _, err := table.Plan(bad, Band{}, nil); err == nil {
			t.Errorf("%.60v was taken", fmt.Sprint(bad))
		}
	}
	for _, slots := range []int{0, 1, 3, MostSlots * 2} {
		if _, err := New(slots); err == nil {
			t.Errorf("%d slots were taken", slots)
		}
	}
}

var hold = Hold{Down: 5 * time.Second, Up: 10 * time.Second, Most: time.Minute}

func TestADeathThatIsRefutedMovesNothing(t *testing.T) {
	s := NewSettle(hold)
	s.Heard(0, "a", true)
	s.Heard(10*time.Second, "a", false)
	if names, next := s.There(14 * time.Second); len(names) != 1 || next != 15*time.Second {
		t.Errorf("%v, next %v", names, next)
	}
	s.Heard(14*time.Second, "a", true)
	if names, next := s.There(time.Hour); len(names) != 1 || next != 0 {
		t.Errorf("%v, next %v", names, next)
	}
}

// Up for 12 s, down for 8 s, ten times: each fall and each return that counts moves keys.
func TestWhatFlapsIsHeldOutLongerEachTime(t *testing.T) {
	s := NewSettle(hold)
	s.Heard(0, "a", true)
	there, changes := true, 0
	for at := time.Duration(0); at < 200*time.Second; at += time.Second {
		s.Heard(at, "a", at%(20*time.Second) < 12*time.Second)
		if names, _ := s.There(at); (len(names) == 1) != there {
			there, changes = !there, changes+1
		}
	}
	if changes > 3 {
		t.Errorf("%d changes in ten falls, want 3 at most", changes)
	}
	s.Heard(200*time.Second, "a", false)
	s.There(300 * time.Second)
	if s.There(800 * time.Second); len(s.known) != 0 {
		t.Error("one long gone is still remembered")
	}
}

func TestSettleIsBounded(t *testing.T) {
	s := NewSettle(hold)
	for n := range MostBackends {
		s.Heard(0, fmt.Sprint(n), true)
	}
	if s.Heard(0, "one too many", true) {
		t.Error("taken")
	}
}

func BenchmarkHolder(b *testing.B) {
	table, _ := New(MostSlots)
	table, _, _ = planned(b, table, backends(500), Band{})
	b.ReportAllocs()
	for b.Loop() {
		table.Holder(table.Slot("shipment-4711:17"))
	}
}

func TestLookUpAllocatesNothing(t *testing.T) {
	table, _ := New(MostSlots)
	table, _, _ = planned(t, table, backends(500), Band{})
	if n := testing.AllocsPerRun(100, func() { table.Holder(table.Slot("shipment-4711:17")) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
