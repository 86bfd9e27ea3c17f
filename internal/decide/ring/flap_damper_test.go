package ring

import (
	"fmt"
	"testing"
	"time"
)

var flapDamping = FlapDamping{DownDelay: 5 * time.Second, UpDelay: 10 * time.Second, MaxDelay: time.Minute}

func TestFlapDamperIgnoresShortOutage(t *testing.T) {
	damper := NewFlapDamper(flapDamping)
	damper.Observe(0, "a", Up)
	damper.Observe(10*time.Second, "a", Down)
	if names, next := damper.PresentBackends(14 * time.Second); len(names) != 1 || next != 15*time.Second {
		t.Errorf("during a short outage: present %v, next change at %v", names, next)
	}
	damper.Observe(14*time.Second, "a", Up)
	if names, next := damper.PresentBackends(time.Hour); len(names) != 1 || next != 0 {
		t.Errorf("after a short outage: present %v, next change at %v", names, next)
	}
}

// A backend is up for 12 s and down for 8 s, ten times. Each outage or recovery that takes effect would migrate slots.
func TestFlapDamperDoublesDelayOfFlappingBackend(t *testing.T) {
	damper := NewFlapDamper(flapDamping)
	damper.Observe(0, "a", Up)
	isPresent := true
	changes := 0
	for at := time.Duration(0); at < 200*time.Second; at += time.Second {
		damper.Observe(at, "a", Health(at%(20*time.Second) < 12*time.Second))
		if names, _ := damper.PresentBackends(at); (len(names) == 1) != isPresent {
			isPresent = !isPresent
			changes++
		}
	}
	if changes > 3 {
		t.Errorf("%d changes of presence in ten outages, want at most 3", changes)
	}
	damper.Observe(200*time.Second, "a", Down)
	damper.PresentBackends(300 * time.Second)
	if damper.PresentBackends(800 * time.Second); len(damper.backends) != 0 {
		t.Error("a backend that has been down for long is still tracked")
	}
}

func TestFlapDamperIsBounded(t *testing.T) {
	damper := NewFlapDamper(flapDamping)
	for n := range MaxBackends {
		damper.Observe(0, fmt.Sprint(n), Up)
	}
	if damper.Observe(0, "one more", Up) {
		t.Error("accepted more than MaxBackends backends")
	}
}
