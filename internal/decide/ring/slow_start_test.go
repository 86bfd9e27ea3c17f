package ring

import (
	"math"
	"testing"
	"time"
)

var slowStart = SlowStart{InitialFraction: 0.1, Increment: 0.2, BackoffFactor: 0.5, StepInterval: time.Second,
	MaxLatency: 50 * time.Millisecond, MaxErrorRate: 0.02}

func TestSlowStartValidate(t *testing.T) {
	if err := slowStart.Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(s *SlowStart){
		"initial fraction of 0":         func(s *SlowStart) { s.InitialFraction = 0 },
		"initial fraction over 1":       func(s *SlowStart) { s.InitialFraction = 2 },
		"initial fraction not a number": func(s *SlowStart) { s.InitialFraction = math.NaN() },
		"increment":                     func(s *SlowStart) { s.Increment = 0 },
		"backoff factor":                func(s *SlowStart) { s.BackoffFactor = 2 },
		"step interval":                 func(s *SlowStart) { s.StepInterval = 0 },
	} {
		bad := slowStart
		if change(&bad); bad.Validate() == nil {
			t.Errorf("%s: %+v was accepted", name, bad)
		}
	}
}

func TestSlowStartIncreasesInSteps(t *testing.T) {
	var p SlowStartProgress
	last, migrated := 0.0, 0
	empty, _ := New(1024)
	table, _, _ := mustPlan(t, empty, testBackends(5), BalanceBound{})
	for at := time.Duration(0); at <= 8*time.Second; at += 100 * time.Millisecond {
		fraction := p.Advance(at, slowStart, time.Millisecond, 0)
		if fraction < last || fraction-last > slowStart.Increment+1e-9 {
			t.Fatalf("at %v: fraction changed from %g to %g", at, last, fraction)
		}
		if fraction != last {
			to := testBackends(6)
			to[5].Weight = fraction
			next, migrations, minimum := mustPlan(t, table, to, BalanceBound{})
			if len(migrations) != minimum {
				t.Errorf("%d migrations, minimum %d", len(migrations), minimum)
			}
			table = next
			migrated += len(migrations)
		}
		last = fraction
	}
	if owned, _ := table.SlotCounts(); last != 1 || owned[5] < 170 || migrated > 175 { // about a sixth of the slots, each migrated once
		t.Errorf("fraction %g, slots owned %v, %d migrations in total", last, owned, migrated)
	}
}

func TestSlowStartBacksOffOnLatencyAndErrors(t *testing.T) {
	var p SlowStartProgress
	for at := time.Duration(0); at <= 2*time.Second; at += time.Second {
		p.Advance(at, slowStart, 0, 0)
	}
	for _, c := range []struct {
		at        time.Duration
		latency   time.Duration
		errorRate float64
		want      float64
	}{{2500 * time.Millisecond, time.Second, 0, 0.5}, {3 * time.Second, time.Second, 0, 0.25}, {4 * time.Second, 0, 0, 0.25},
		{5 * time.Second, 0, 0, 0.45}, {6 * time.Second, 0, 0.5, 0.225}, {8 * time.Second, 0, 1, 0.1125}, {10 * time.Second, 0, 1, 0.1}} {
		if got := p.Advance(c.at, slowStart, c.latency, c.errorRate); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("at %v: fraction %g, want %g", c.at, got, c.want)
		}
	}
	completed := CompletedSlowStart()
	if got := completed.Advance(time.Hour, slowStart, time.Minute, 1); got != 1 {
		t.Errorf("fraction of a warmed-up backend: %g, want 1", got)
	}
	if completed.Restart(); completed.Advance(time.Hour, slowStart, 0, 0) != 0.1 {
		t.Error("a restarted slow start does not begin at the initial fraction")
	}
}
