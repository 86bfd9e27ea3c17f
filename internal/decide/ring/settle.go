// This file owns which backends count as there, as membership is at times wrong and backends flap. It must never let
// one that comes and goes move a key more often than its hold allows.

package ring

import (
	"slices"
	"time"
)

// Hold is how long a change must last before it counts.
type Hold struct {
	Down time.Duration // a silence shorter than this moves nothing
	Up   time.Duration // a backend back for so long gets its part again
	Most time.Duration // each further fall within Most of the last doubles both for it, up to Most
}

// Settle tells a death from a pause and holds out what flaps.
type Settle struct {
	hold  Hold
	known map[string]*standing
}

type standing struct {
	there, heard bool          // as it counts; as last heard
	since        time.Duration // of what was last heard
	fell         time.Duration // when it last counted as gone
	falls        int           // in a row, each within Most of the last
}

// NewSettle knows no backend yet.
func NewSettle(h Hold) *Settle { return &Settle{hold: h, known: map[string]*standing{}} }

// Heard: a backend is up or down, as membership or its callers have it now. One never heard of counts at once where
// it is up: it holds nothing that could be taken from it. False where the table of backends is full.
func (s *Settle) Heard(now time.Duration, name string, up bool) bool {
	b, known := s.known[name]
	if !known {
		if len(s.known) >= MostBackends {
			return false
		}
		s.known[name] = &standing{there: up, heard: up, since: now, fell: now - s.hold.Most}
		return true
	}
	if b.heard != up {
		b.heard, b.since = up, now
	}
	return true
}

// There are the backends that count, by name, and when that may next change by time alone (0: not).
func (s *Settle) There(now time.Duration) (names []string, next time.Duration) {
	for name, b := range s.known {
		if at := b.since + s.wait(b); b.heard != b.there {
			if now >= at {
				s.turn(now, b)
			} else if next == 0 || at < next {
				next = at
			}
		}
		if !b.there && !b.heard && now-max(b.since, b.fell) > 2*s.hold.Most {
			delete(s.known, name)
		} else if b.there {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, next
}

func (s *Settle) wait(b *standing) time.Duration {
	wait := s.hold.Down
	if b.heard {
		wait = s.hold.Up
	}
	for range b.falls {
		if wait *= 2; wait >= s.hold.Most {
			return s.hold.Most
		}
	}
	return wait
}

func (s *Settle) turn(now time.Duration, b *standing) {
	if b.there = b.heard; b.there {
		return
	}
	if b.falls++; now-b.fell >= s.hold.Most {
		b.falls = 0
	}
	b.fell = now
}
