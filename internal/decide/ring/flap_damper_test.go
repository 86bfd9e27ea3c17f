package ring

import (
	"fmt"
	"testing"
	"time"
)

var flapDamping = FlapDamping{DownDelay: 5 * time.Second, UpDelay: 10 * time.Second, MaxDelay: time.Minute}

func TestFlapDamperIgnoresShortOutage(t *testing.T) {
	s := NewFlapDamper(flapDamping)
	s.Observe(0, "a", Up)
	s.Observe(10*time.Second, "a", Down)
	if names, next := s.Present(14 * time.Second); len(names) != 1 || next != 15*time.Second {
		t.Errorf("%v, next %v", names, next)
	}
	s.Observe(14*time.Second, "a", Up)
	if names, next := s.Present(time.Hour); len(names) != 1 || next != 0 {
		t.Errorf("%v, next %v", names, next)
	}
}

// Up for 12 s, down for 8 s, ten times: each outage and each recovery that counts migrates slots.
func TestFlapDamperDoublesDelayOfFlappingBackend(t *testing.T) {
	s := NewFlapDamper(flapDamping)
	s.Observe(0, "a", Up)
	there, changes := true, 0
	for at := time.Duration(0); at < 200*time.Second; at += time.Second {
		s.Observe(at, "a", at%(20*time.Second) < 12*time.Second)
		if names, _ := s.Present(at); (len(names) == 1) != there {
			there, changes = !there, changes+1
		}
	}
	if changes > 3 {
		t.Errorf("%d changes in ten outages, want 3 at most", changes)
	}
	s.Observe(200*time.Second, "a", Down)
	s.Present(300 * time.Second)
	if s.Present(800 * time.Second); len(s.backends) != 0 {
		t.Error("a backend that is down for long is still tracked")
	}
}

func TestFlapDamperIsBounded(t *testing.T) {
	s := NewFlapDamper(flapDamping)
	for n := range MaxBackends {
		s.Observe(0, fmt.Sprint(n), true)
	}
	if s.Observe(0, "one too many", Up) {
		t.Error("accepted")
	}
}
