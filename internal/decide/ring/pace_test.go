package ring

import (
	"testing"
	"time"
)

var ramp = Ramp{First: 0.1, Up: 0.2, Back: 0.5, Every: time.Second, Lag: 50 * time.Millisecond, Fails: 0.02}

func TestAColdBackendTakesItsPartInSteps(t *testing.T) {
	var p Pace
	last, moved := 0.0, 0
	empty, _ := New(1024)
	table, _, _ := planned(t, empty, backends(5), Band{})
	for at := time.Duration(0); at <= 8*time.Second; at += 100 * time.Millisecond {
		part := p.Part(at, ramp, time.Millisecond, 0)
		if part < last || part-last > ramp.Up+1e-9 {
			t.Fatalf("at %v its part goes from %g to %g", at, last, part)
		}
		if part != last {
			to := backends(6)
			to[5].Weight = part
			next, moves, least := planned(t, table, to, Band{})
			if len(moves) != least {
				t.Errorf("%d moves, least %d", len(moves), least)
			}
			table, moved = next, moved+len(moves)
		}
		last = part
	}
	if held, _ := table.Counts(); last != 1 || held[5] < 170 || moved > 175 { // a sixth of the slots, each moved once
		t.Errorf("part %g, %v held, %d moves in all", last, held, moved)
	}
}

func TestOneThatSuffersIsSteppedBackAndHeld(t *testing.T) {
	var p Pace
	for at := time.Duration(0); at <= 2*time.Second; at += time.Second {
		p.Part(at, ramp, 0, 0)
	}
	for _, c := range []struct {
		at    time.Duration
		lag   time.Duration
		fails float64
		want  float64
	}{{2500 * time.Millisecond, time.Second, 0, 0.5}, {3 * time.Second, time.Second, 0, 0.25}, {4 * time.Second, 0, 0, 0.25},
		{5 * time.Second, 0, 0, 0.45}, {6 * time.Second, 0, 0.5, 0.225}, {8 * time.Second, 0, 1, 0.1125}, {10 * time.Second, 0, 1, 0.1}} {
		if got := p.Part(c.at, ramp, c.lag, c.fails); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("at %v: part %g, want %g", c.at, got, c.want)
		}
	}
	w := Warm()
	if got := w.Part(time.Hour, ramp, time.Minute, 1); got != 1 {
		t.Errorf("a warm one is ramped: %g", got)
	}
	if w.Cold(); w.Part(time.Hour, ramp, 0, 0) != 0.1 {
		t.Error("one that came back cold has its whole part")
	}
}
