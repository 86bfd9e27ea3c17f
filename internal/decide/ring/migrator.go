package ring

import (
	"slices"
	"time"
)

// proposalsPerLease is how many times per lease duration an entry is proposed until it is applied.
const proposalsPerLease = 4

// LeaseTerms describes the lease that members hold on a table. The terms must be the same in all members.
type LeaseTerms struct {
	Duration    time.Duration
	MaxDrift    float64       // fraction by which a member's clock may run fast or slow; 0 to 0.5
	CancelDelay time.Duration // how long a cancelled call may still run at its backend
}

// usableDuration returns how long a member may have calls in flight, counted from when it sent the acknowledgement. It
// leaves time for cancelled calls to end, and for drift of the member's clock.
func (t LeaseTerms) usableDuration() time.Duration {
	return time.Duration(float64(t.Duration-t.CancelDelay) * (1 - t.MaxDrift))
}

// expiryWait returns how long the leader waits for a member's lease to expire, with allowance for drift of its clock.
func (t LeaseTerms) expiryWait() time.Duration {
	return time.Duration(float64(t.Duration) * (1 + t.MaxDrift))
}

// MigrationProposer proposes entries to the replicated log under the leader's fencing token. Proposed entries may be lost.
type MigrationProposer interface {
	ProposeFreeze(next *Table, slots []int)
	ProposeActivation(next *Table)
}

// Migrator carries out one plan at a time at the leader: it freezes the migrating slots, waits until each member has
// acknowledged the freeze or its lease has expired, and activates the next table. It holds at most MaxMembers members,
// which are removed by MemberLeft or when their lease expires.
type Migrator struct {
	proposer     MigrationProposer
	terms        LeaseTerms
	members      map[string]acknowledgement // by process
	next         *Table                     // the table being migrated to; nil if no plan is in progress
	slots        []int
	isFrozen     bool          // whether the freeze is in the log
	nextProposal time.Duration // when the current step is proposed again
}

// acknowledgement is the last acknowledgement of a member.
type acknowledgement struct {
	at      time.Duration // when the leader applied it
	version uint64
}

// NewMigrator returns the migrator of a newly elected leader. It has no record of earlier acknowledgements, so it assumes
// that each known member holds a lease that started now. pending is the table for which the previous leader froze slots
// and which it did not activate, or nil.
func NewMigrator(now time.Duration, proposer MigrationProposer, terms LeaseTerms, known []string, pending *Table, slots []int) *Migrator {
	m := &Migrator{
		proposer: proposer,
		terms:    terms,
		members:  map[string]acknowledgement{},
		next:     pending,
		slots:    slots,
		isFrozen: pending != nil,
	}
	for _, process := range known {
		m.members[process] = acknowledgement{at: now}
	}
	return m
}

// Start starts to carry out a plan. It returns false while another plan is in progress; the caller must then plan again
// once the table of that plan is active.
func (m *Migrator) Start(now time.Duration, next *Table, migrations []Migration) bool {
	if m.next != nil {
		return false
	}
	m.next = next
	m.slots = nil
	m.isFrozen = false
	for _, migration := range migrations {
		m.slots = append(m.slots, migration.Slot)
	}
	slices.Sort(m.slots)
	m.nextProposal = now
	m.proposeIfDue(now)
	return true
}

// InProgress reports whether a plan is in progress.
func (m *Migrator) InProgress() bool { return m.next != nil }

// proposeIfDue proposes the entry of the current step (freeze or activation) if it is due.
func (m *Migrator) proposeIfDue(now time.Duration) {
	if now < m.nextProposal {
		return
	}
	m.nextProposal = now + m.terms.Duration/proposalsPerLease
	if m.isFrozen {
		m.proposer.ProposeActivation(m.next)
	} else {
		m.proposer.ProposeFreeze(m.next, m.slots)
	}
}

// ActivationApplied records that the table of this version is active. It ends the plan in
// progress unless the table of that plan is newer.
func (m *Migrator) ActivationApplied(version uint64) {
	if m.next != nil && m.next.Version <= version {
		m.next = nil
		m.slots = nil
		m.isFrozen = false
	}
}

// FreezeApplied records that the freeze for this version is in the log. A member that joins later applies the freeze
// before its first call.
func (m *Migrator) FreezeApplied(version uint64) {
	if m.next != nil && m.next.Version == version && !m.isFrozen {
		m.isFrozen = true
		m.nextProposal = 0
	}
}

// AcknowledgementApplied records an acknowledgement that ReplicatedState.AcceptsAcknowledgement accepted: the process has
// applied this version and has no call in flight on a slot frozen for it. It returns false if there are already
// MaxMembers members; the process then gets no lease.
func (m *Migrator) AcknowledgementApplied(now time.Duration, process string, version uint64) bool {
	last, known := m.members[process]
	if !known && len(m.members) >= MaxMembers {
		return false
	}
	m.members[process] = acknowledgement{at: now, version: max(version, last.version)}
	return true
}

// MemberLeft records that a process has ended its calls and makes no more.
func (m *Migrator) MemberLeft(process string) { delete(m.members, process) }

// Tick removes members whose lease has expired, and proposes the entry of the current step if it is due and no
// acknowledgement of the freeze is missing. It returns the members whose acknowledgement is missing, sorted by name.
func (m *Migrator) Tick(now time.Duration) (waiting []string) {
	for process, last := range m.members {
		if now-last.at >= m.terms.expiryWait() {
			delete(m.members, process)
		} else if m.isFrozen && last.version < m.next.Version {
			waiting = append(waiting, process)
		}
	}
	slices.Sort(waiting)
	if m.next != nil && len(waiting) == 0 {
		m.proposeIfDue(now)
	}
	return waiting
}
