package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymechute/internal/decide/lease"
	"thymechute/internal/lab/emulator"
)

var leaseConfig = lease.Config{Duration: time.Second, MaxDrift: 0.05, SafetyMargin: 5 * time.Millisecond}

// Draws any order of pauses, partitions, restarts without state, and lost or delayed entries, with clocks at any rate
// within MaxDrift.
func TestAtMostOneHolderUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "rates"), 1))
		s, err := emulator.NewLeaseSim(rapid.IntRange(2, 5).Draw(t, "size"), leaseConfig, r, "ring", "roll")
		if err != nil {
			t.Fatal(err)
		}
		anyMember := func(t *rapid.T) *emulator.LeaseMember {
			return s.Members[rapid.IntRange(0, len(s.Members)-1).Draw(t, "member")]
		}
		inFlight := func(t *rapid.T) int {
			if s.InFlight() == 0 {
				t.Skip("nothing in flight")
			}
			return rapid.IntRange(0, s.InFlight()-1).Draw(t, "which")
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { s.Advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond) },
			"commit":  func(t *rapid.T) { s.Commit(inFlight(t)) },
			"drop":    func(t *rapid.T) { s.Drop(inFlight(t)) },
			"deliver": func(t *rapid.T) { s.Deliver(anyMember(t), rapid.IntRange(1, 8).Draw(t, "entries")) },
			"deliver all": func(t *rapid.T) {
				for _, m := range s.Members {
					s.Deliver(m, 99)
				}
			},
			"pause":        func(t *rapid.T) { anyMember(t).Paused = true },
			"wake":         func(t *rapid.T) { m := anyMember(t); m.Paused = false; s.ProposeStale(m) },
			"cut inbound":  func(t *rapid.T) { m := anyMember(t); m.InboundCut = !m.InboundCut },
			"cut outbound": func(t *rapid.T) { m := anyMember(t); m.OutboundCut = !m.OutboundCut },
			"restart":      func(t *rapid.T) { s.Restart(anyMember(t)) },
			"decide":       func(t *rapid.T) { s.Decide(anyMember(t)) },
			"drain":        func(t *rapid.T) { s.Drain(anyMember(t)) },
			"": func(t *rapid.T) {
				if err := s.Check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

func TestEmulatedFleetWithFaults(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		f, err := emulator.RunLeases(emulator.LeaseScenario{Members: 12, Leases: 120, Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		if f.ConcurrentHolders != 0 || f.StaleAccepted != 0 || f.StaleAdmitted != 0 || f.DivergedTables != 0 {
			t.Errorf("seed %d: %+v", seed, f)
		}
		if f.StaleProposed == 0 || f.Decisions == 0 {
			t.Errorf("seed %d: no stale command was proposed or no decision made: %+v", seed, f)
		}
	}
}

func TestChecksFailWithoutFencing(t *testing.T) {
	accepted, admitted := 0, 0
	for seed := uint64(1); seed <= 3; seed++ {
		f, _ := emulator.RunLeases(emulator.LeaseScenario{Members: 12, Leases: 120, Seed: seed, OnStart: lease.DisableFencing})
		accepted += f.StaleAccepted
		admitted += f.StaleAdmitted
	}
	if accepted == 0 || admitted == 0 {
		t.Errorf("without fencing %d stale commands were accepted and %d admitted, want some of each", accepted, admitted)
	}
	table, _ := lease.NewTable(searchDuties...)
	lease.DisableFencing(table, &lease.Fence{})
	if _, violations := explore(table, 6); violations == 0 {
		t.Error("the exhaustive search finds no violation without fencing")
	}
}

func TestClockDriftBeyondBoundGivesTwoHolders(t *testing.T) {
	violations := 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		driftingClocks := lease.Config{Duration: time.Second, MaxDrift: 0.4}
		s, _ := emulator.NewLeaseSim(3, driftingClocks, r, "ring") // clock rates from 0.6 to 1.4
		s.RestartAll(lease.Config{Duration: time.Second})
		for range 400 {
			s.Advance(20 * time.Millisecond)
			for s.InFlight() > 0 {
				s.Commit(0)
			}
			for n, m := range s.Members {
				if h := s.HolderOf("ring"); h == nil || m != h || n > 0 {
					s.Deliver(m, 9)
				}
			}
			if h := s.HolderOf("ring"); h != nil {
				h.InboundCut, h.OutboundCut = true, true // cut off: it must stop by its own clock
			}
			if s.Check() != nil {
				violations++
				break
			}
		}
	}
	if violations == 0 {
		t.Error("clock rates from 0.6 to 1.4 with leases that tolerate no drift never gave two holders: the check detects nothing")
	}
}

func TestLargeFleetClaimsInOrder(t *testing.T) {
	s, err := emulator.NewLeaseSim(500, leaseConfig, rand.New(rand.NewPCG(1, 1)), "ring")
	if err != nil {
		t.Fatal(err)
	}
	mostInFlight := 0
	for range 200 {
		s.Advance(25 * time.Millisecond)
		mostInFlight = max(mostInFlight, s.InFlight())
		for s.InFlight() > 0 {
			s.Commit(0)
		}
		for _, m := range s.Members {
			s.Deliver(m, 9)
		}
	}
	if h := s.HolderOf("ring"); h == nil || mostInFlight > 16 {
		t.Errorf("holder %v, %d proposals in flight, want a holder and at most 16", h, mostInFlight)
	}
}

func TestResignedLeaseGoesToAnotherMember(t *testing.T) {
	s, _ := emulator.NewLeaseSim(3, leaseConfig, rand.New(rand.NewPCG(3, 3)), "roll")
	electHolder := func() *emulator.LeaseMember {
		for range 120 {
			s.Advance(25 * time.Millisecond)
			for s.InFlight() > 0 {
				s.Commit(0)
			}
			for _, m := range s.Members {
				s.Deliver(m, 9)
			}
		}
		return s.HolderOf("roll")
	}
	first := electHolder()
	s.Resign(first, "roll")
	if next := electHolder(); next == nil || next == first {
		t.Errorf("%v resigned, and %v holds the lease, want another member", first, next)
	}
}

func TestFenceRejectsOlderDecisions(t *testing.T) {
	var fence lease.Fence
	for n, c := range []struct {
		duty         string
		token, index uint64
		want         bool
	}{{"ring", 1, 5, true}, {"ring", 1, 5, false}, {"ring", 2, 9, true}, {"ring", 1, 10, false}, {"roll", 1, 3, true},
		{"ring", 2, 8, false}, {"ring", 2, 11, true}} {
		if got := fence.Admit(c.duty, c.token, c.index); got != c.want {
			t.Errorf("decision %d: Admit(%+v) = %v, want the opposite", n, c, got)
		}
	}
	for n := range 2 * lease.MaxDuties {
		fence.Admit(fmt.Sprint(n), 1, 1)
	}
	if fence.Admit("one more", 1, 1) {
		t.Error("the fence admits more than MaxDuties duties")
	}
}

func TestAnnouncementNeedsNoTokenAndLeavesLeaseUnchanged(t *testing.T) {
	table, _ := lease.NewTable("a")
	table.Apply(1, lease.Command{Kind: lease.Acquire, Duty: "a", Member: "x", Incarnation: 1})
	before, _ := table.Lookup("a")
	if o := table.Apply(2, lease.Command{Kind: lease.Announce, Duty: "a", Member: "y", Incarnation: 2}); !o.Accepted {
		t.Errorf("announcement of a member that is not the holder: %+v, want accepted", o)
	}
	if after, _ := table.Lookup("a"); after != before {
		t.Errorf("an announcement changed the duty from %+v to %+v", before, after)
	}
	b, _ := table.Encode()
	if back, err := lease.Decode(b); err != nil || back.Index() != 2 {
		t.Errorf("decoded: %v", err)
	} else if d, _ := back.Lookup("a"); d != before {
		t.Errorf("decoded %+v, encoded %+v", d, before)
	}
}

func TestTableRejectsInvalidCommands(t *testing.T) {
	if _, err := lease.NewTable("a", "a"); err == nil {
		t.Error("NewTable accepts a duplicate duty")
	}
	table, _ := lease.NewTable("a")
	for n, c := range []lease.Command{{Kind: lease.Acquire, Duty: "b"}, {Kind: lease.Decide, Duty: "a", Token: 0, Member: "x"},
		{Kind: lease.Kind(9), Duty: "a"}, {Kind: lease.Acquire, Duty: "a", ObservedIndex: 7}} {
		if o := table.Apply(uint64(n+1), c); o.Accepted || o.Err == nil {
			t.Errorf("command %+v: %+v, want rejected", c, o)
		}
	}
	if o := table.Apply(2, lease.Command{Kind: lease.Acquire, Duty: "a"}); o.Accepted {
		t.Error("Apply accepts an entry below the last index")
	}
}
