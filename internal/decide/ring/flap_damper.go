package ring

import (
	"slices"
	"time"
)

// FlapDamping configures how long a change of a backend's health must last before it takes effect.
type FlapDamping struct {
	DownDelay time.Duration // a shorter outage migrates no slots
	UpDelay   time.Duration // how long a recovered backend must be up before it may own slots again
	MaxDelay  time.Duration // each outage within MaxDelay of the previous one doubles both delays, up to MaxDelay
}

// Health is a backend's observed health.
type Health bool

// The two states of health.
const (
	Down Health = false
	Up   Health = true
)

// FlapDamper decides which backends count as present when slots are planned. It ignores short outages, and excludes a
// flapping backend for a longer time after each outage.
type FlapDamper struct {
	damping  FlapDamping
	backends map[string]*backendHealth
}

type backendHealth struct {
	isPresent     bool // whether the backend counts as present
	observed      Health
	observedSince time.Duration // when observed last changed
	removedAt     time.Duration // when isPresent last became false
	flaps         int           // consecutive outages, each within MaxDelay of the previous
}

// NewFlapDamper returns a damper without any backends.
func NewFlapDamper(d FlapDamping) *FlapDamper {
	return &FlapDamper{damping: d, backends: map[string]*backendHealth{}}
}

// Observe records a backend's health, as seen by the membership or by its callers. A new backend that is up counts as
// present at once, as it owns no slots that could migrate. Observe returns false if the backend is new and the damper
// already holds MaxBackends.
func (d *FlapDamper) Observe(now time.Duration, name string, health Health) bool {
	b, known := d.backends[name]
	if !known {
		if len(d.backends) >= MaxBackends {
			return false
		}
		d.backends[name] = &backendHealth{isPresent: health == Up, observed: health, observedSince: now, removedAt: now - d.damping.MaxDelay}
		return true
	}
	if b.observed != health {
		b.observed, b.observedSince = health, now
	}
	return true
}

// PresentBackends returns the backends that count as present, sorted by name, and the time of the next change that can
// occur without another observation, or 0 if there is none.
func (d *FlapDamper) PresentBackends(now time.Duration) (names []string, nextChange time.Duration) {
	for name, b := range d.backends {
		if b.isPresent != (b.observed == Up) {
			at := b.observedSince + d.delay(b)
			if now >= at {
				d.applyObserved(now, b)
			} else if nextChange == 0 || at < nextChange {
				nextChange = at
			}
		}
		isQuiet := now-max(b.observedSince, b.removedAt) > 2*d.damping.MaxDelay
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

// delay returns how long the observed health must last before it takes effect: doubled for each flap, up to MaxDelay.
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

// applyObserved makes the observed health take effect.
func (d *FlapDamper) applyObserved(now time.Duration, b *backendHealth) {
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
