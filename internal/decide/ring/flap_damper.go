package ring

import (
	"slices"
	"time"
)

// FlapDamping says how long a backend's change of health must last before it counts.
type FlapDamping struct {
	DownDelay time.Duration // a shorter outage migrates nothing
	UpDelay   time.Duration // after which a recovered backend owns slots again
	MaxDelay  time.Duration // each further outage within MaxDelay of the last doubles both delays, up to MaxDelay
}

// Health is a backend's observed health.
type Health bool

// The two states of health.
const (
	Down Health = false
	Up   Health = true
)

// FlapDamper decides which backends are present for planning: it ignores short outages, and keeps flapping backends out
// for longer each time.
type FlapDamper struct {
	damping  FlapDamping
	backends map[string]*backendHealth
}

type backendHealth struct {
	isPresent  bool // as it counts
	observed   Health
	observedAt time.Duration // when observed last changed
	removedAt  time.Duration // when it last stopped being present
	flaps      int           // consecutive outages, each within MaxDelay of the previous
}

// NewFlapDamper returns a damper that knows no backend yet.
func NewFlapDamper(d FlapDamping) *FlapDamper {
	return &FlapDamper{damping: d, backends: map[string]*backendHealth{}}
}

// Observe records a backend's health, as membership or its callers see it. A new backend that is up counts at once: it
// owns nothing that could be taken from it. It returns false if the damper is full.
func (d *FlapDamper) Observe(now time.Duration, name string, health Health) bool {
	b, known := d.backends[name]
	if !known {
		if len(d.backends) >= MaxBackends {
			return false
		}
		d.backends[name] = &backendHealth{isPresent: health == Up, observed: health, observedAt: now, removedAt: now - d.damping.MaxDelay}
		return true
	}
	if b.observed != health {
		b.observed, b.observedAt = health, now
	}
	return true
}

// PresentBackends returns the backends that count as present, sorted by name, and the time of the next change that can
// occur without another observation, or 0 if there is none.
func (d *FlapDamper) PresentBackends(now time.Duration) (names []string, nextChange time.Duration) {
	for name, b := range d.backends {
		if b.isPresent != (b.observed == Up) {
			at := b.observedAt + d.delay(b)
			if now >= at {
				d.confirm(now, b)
			} else if nextChange == 0 || at < nextChange {
				nextChange = at
			}
		}
		isQuiet := now-max(b.observedAt, b.removedAt) > 2*d.damping.MaxDelay
		switch {
		case b.isPresent:
			names = append(names, name)
		case b.observed == Down && isQuiet:
			delete(d.backends, name)
		}
	}
	slices.Sort(names)
	return names, nextChange
}

// delay is how long the observed health must last, doubled for each flap.
func (d *FlapDamper) delay(b *backendHealth) time.Duration {
	delay := d.damping.DownDelay
	if b.observed == Up {
		delay = d.damping.UpDelay
	}
	for range b.flaps {
		if delay *= 2; delay >= d.damping.MaxDelay {
			return d.damping.MaxDelay
		}
	}
	return delay
}

// confirm makes the observed health count.
func (d *FlapDamper) confirm(now time.Duration, b *backendHealth) {
	b.isPresent = b.observed == Up
	if b.isPresent {
		return
	}
	b.flaps++
	if now-b.removedAt >= d.damping.MaxDelay {
		b.flaps = 0
	}
	b.removedAt = now
}
