// This file owns whom a member asks: its sources, when it leaves one, which it avoids for a while and when it comes back.

package configuration

import (
	"slices"
	"time"
)

// avoidance is a source that isn't turned to for a while; what one that is refused sends isn't taken either.
type avoidance struct {
	name    string
	until   time.Duration
	refused bool
}

// Place gives the member its sources; it keeps the one it asks where that is still the
// first, or where it is in the middle of a repair.
func (m *Member) Place(now time.Duration, s Sources) {
	before, busy := m.source(), m.repairing()
	m.sources, m.near = slices.Concat(s.Near, s.Last), len(s.Near)
	m.shunned = slices.DeleteFunc(m.shunned, func(a avoidance) bool { return !slices.Contains(m.sources, a.name) })
	m.to = max(0, slices.Index(m.sources, before))
	if before != m.source() || m.to >= m.homes() && !busy {
		m.turn(now, 0)
	}
}

// source is the one it asks, "" before the first Place.
func (m *Member) source() string {
	if m.to >= len(m.sources) {
		return ""
	}
	return m.sources[m.to]
}

// Source it asks now.
func (m *Member) Source() string { return m.source() }

func (m *Member) jitter(span time.Duration) time.Duration {
	return time.Duration(m.chance.Float64() * float64(span))
}

// turn goes to the first source from a place on that isn't avoided, to that place's where all are.
func (m *Member) turn(now time.Duration, place int) {
	if len(m.sources) == 0 {
		return
	}
	m.shunned = slices.DeleteFunc(m.shunned, func(a avoidance) bool { return now >= a.until })
	m.to = place % len(m.sources)
	for n := range m.sources {
		next := (place + n) % len(m.sources)
		if !m.avoided(m.sources[next]) {
			m.to = next
			break
		}
	}
	m.Counts.Left++
	m.newest = Version{}
	m.since, m.poll, m.asked = now, now+m.jitter(pollSoon/3), 0
	m.home = now + homeAfter + m.jitter(homeAfter/2)
	if m.repair != nil {
		m.repair.begin(notYet)
	}
}

func (m *Member) avoided(name string) bool {
	return slices.ContainsFunc(m.shunned, func(a avoidance) bool { return a.name == name })
}

func (m *Member) refuses(name string) bool {
	return slices.ContainsFunc(m.shunned, func(a avoidance) bool { return a.name == name && a.refused })
}

func (m *Member) avoid(now time.Duration, name string, span time.Duration, refused bool) {
	m.shunned = slices.DeleteFunc(m.shunned, func(a avoidance) bool { return a.name == name })
	m.shunned = append(m.shunned, avoidance{name, now + span, refused})
}

// blame leaves a source that sent what can't be, for a while.
func (m *Member) blame(now time.Duration, from string) {
	m.avoid(now, from, blameFor, true)
	if from == m.source() {
		m.repair = nil // what was staged may be its work
		m.turn(now, m.to+1)
	}
}

// repairing tells whether it is in the middle of comparing with its source.
func (m *Member) repairing() bool { return m.repair != nil && m.repair.again != notYet }

// homes is how many sources are as good as the first: the control machines at the top of a zone.
func (m *Member) homes() int {
	if m.near == len(m.sources) {
		return m.near
	}
	return 1
}

// old leaves a control machine that the agreed log doesn't reach, where there is another that isn't known to be so.
func (m *Member) old(now time.Duration, from string, a At) {
	isRelay := m.to < m.near && m.near < len(m.sources)
	if from != m.source() || isRelay || a.Age <= controlOld {
		return
	}
	m.avoid(now, from, avoidFor, false)
	if slices.ContainsFunc(m.sources, func(name string) bool { return !m.avoided(name) }) {
		m.turn(now, m.to+1)
	}
}

// referred goes to a control machine; from one, to the next after a while, since its table is full.
func (m *Member) referred(now time.Duration, from string) {
	if from != m.source() {
		return
	}
	if m.to < m.near && m.near < len(m.sources) {
		m.turn(now, m.near)
		return
	}
	m.turn(now, m.to+1)
	wait := pollSoon + m.jitter(pollEvery)
	m.since, m.poll = m.since+wait, now+wait
}
