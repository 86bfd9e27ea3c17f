// This file owns a move's steps, at the owner of the duty "ring": freeze, wait for every member or for its lease,
// open. It must never open a slot's new holder while any member may still call the old one.

package ring

import (
	"slices"
	"time"
)

// Terms are the lease under which members hold a table; the same in all.
type Terms struct {
	Length time.Duration
	Drift  float64       // part by which a clock may run fast or slow, 0 to 0.5
	Linger time.Duration // that a call given up may stay at a backend
}

// holds is how long a member may call, from before it sent the acknowledgement, with what lingers within.
func (l Terms) holds() time.Duration {
	return time.Duration(float64(l.Length-l.Linger) * (1 - l.Drift))
}

func (l Terms) waits() time.Duration { return time.Duration(float64(l.Length) * (1 + l.Drift)) }

// MoverHost is what a Mover acts through: entries of the log, under the owner's token.
type MoverHost interface {
	Freeze(next *Table, slots []int)
	Open(next *Table)
}

// Mover carries one plan at a time. A plan that comes meanwhile is refused: once this one is open, plan anew from
// the table that then holds.
type Mover struct {
	host    MoverHost
	terms   Terms
	members map[string]heard // at most MostMembers, emptied by Left and by time
	next    *Table
	slots   []int
	frozen  bool          // the freeze is in the log
	again   time.Duration // when the step that is owed is said again: entries may be lost
}

// MostMembers bounds the fleet that a Mover waits for.
const MostMembers = 10000

type heard struct {
	at      time.Duration // when its last acknowledgement came here
	version uint64
}

// NewMover is of an owner that has just taken over: of members it knows only by the acknowledgements that come from
// now on, and for known ones (as the log has them) it waits a whole lease. moving is what its forerunner froze and
// did not open, nil for nothing.
func NewMover(now time.Duration, h MoverHost, terms Terms, known []string, moving *Table, slots []int) *Mover {
	m := &Mover{host: h, terms: terms, members: map[string]heard{}, next: moving, slots: slots, frozen: moving != nil}
	for _, name := range known {
		m.members[name] = heard{at: now}
	}
	return m
}

// Start begins a plan; false while another is under way.
func (m *Mover) Start(now time.Duration, next *Table, moves []Move) bool {
	if m.next != nil {
		return false
	}
	m.next, m.slots, m.frozen = next, nil, false
	for _, mv := range moves {
		m.slots = append(m.slots, mv.Slot)
	}
	slices.Sort(m.slots)
	m.again = now
	m.step(now)
	return true
}

// Busy tells whether a plan is under way.
func (m *Mover) Busy() bool { return m.next != nil }

// step says what is owed, and again a quarter of a lease later while it is.
func (m *Mover) step(now time.Duration) {
	if now < m.again {
		return
	}
	m.again = now + m.terms.Length/4
	if m.frozen {
		m.host.Open(m.next)
	} else {
		m.host.Freeze(m.next, m.slots)
	}
}

// Opened: the table of this version is in force.
func (m *Mover) Opened(version uint64) {
	if m.next != nil && m.next.Version <= version {
		m.next, m.slots, m.frozen = nil, nil, false
	}
}

// Frozen: the freeze is in the log. Whoever joins from now on hears of it before it may call.
func (m *Mover) Frozen(version uint64) {
	if m.next != nil && m.next.Version == version && !m.frozen {
		m.frozen, m.again = true, 0
	}
}

// Acknowledged: a process of this name, one life of it, goes by this version and has no call out that the freeze
// forbids; the log confirmed it (Agreed.Confirms). False where there are too many: it then gets no confirmation, and so no lease.
func (m *Mover) Acknowledged(now time.Duration, process string, version uint64) bool {
	last, known := m.members[process]
	if !known && len(m.members) >= MostMembers {
		return false
	}
	m.members[process] = heard{at: now, version: max(version, last.version)}
	return true
}

// Left: this process said that it has ended its calls and makes no more.
func (m *Mover) Left(process string) { delete(m.members, process) }

// Tick opens what may be opened, and forgets processes whose lease is over. It returns those waited for.
func (m *Mover) Tick(now time.Duration) (waits []string) {
	for name, h := range m.members {
		if now-h.at >= m.terms.waits() {
			delete(m.members, name)
		} else if m.frozen && h.version < m.next.Version {
			waits = append(waits, name)
		}
	}
	slices.Sort(waits)
	if m.next != nil && len(waits) == 0 {
		m.step(now)
	}
	return waits
}
