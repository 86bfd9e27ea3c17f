package ring

import (
	"slices"
	"time"
)

// proposalsPerLease is how often in a lease an entry is proposed again while it has not been applied.
const proposalsPerLease = 4

// LeaseTerms are the terms of the lease that members hold on a table. They are the same in all members.
type LeaseTerms struct {
	Duration    time.Duration
	MaxDrift    float64       // fraction by which a clock may run fast or slow; 0 to 0.5
	CancelDelay time.Duration // for which a cancelled call may still run at its backend
}

// usableDuration is how long a member may call, from before it sent the acknowledgement; cancelled calls included.
func (t LeaseTerms) usableDuration() time.Duration {
	return time.Duration(float64(t.Duration-t.CancelDelay) * (1 - t.MaxDrift))
}

// expiryWait is how long the leader waits for a member's lease to expire.
func (t LeaseTerms) expiryWait() time.Duration {
	return time.Duration(float64(t.Duration) * (1 + t.MaxDrift))
}

// MigrationProposer proposes entries to the log under the leader's fencing token. Entries may be lost.
type MigrationProposer interface {
	ProposeFreeze(next *Table, slots []int)
	ProposeActivation(next *Table)
}

// Migrator carries out one plan at a time at the leader: freeze the slots, wait until every member has acknowledged or its
// lease has expired, activate the table. Its members are at most MaxMembers, removed by MemberLeft and on expiry.
type Migrator struct {
	proposer     MigrationProposer
	terms        LeaseTerms
	members      map[string]acknowledgement // by process
	next         *Table                     // being migrated to; nil without a plan
	slots        []int
	isFrozen     bool          // the freeze is in the log
	nextProposal time.Duration // when the current step is proposed again
}

// acknowledgement is a member's last one.
type acknowledgement struct {
	at      time.Duration // when it was applied here
	version uint64
}

// NewMigrator returns the migrator of a leader that has just been elected. It knows members' acknowledgements only from
// now on, so it waits a whole lease for each known one. pending is what the previous leader froze and did not activate,
// or nil.
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

// Start starts a plan. It returns false while another is in progress; the caller then plans again from the table that
// is active afterwards.
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
	m.propose(now)
	return true
}

// InProgress reports whether a plan is being carried out.
func (m *Migrator) InProgress() bool { return m.next != nil }

// propose proposes the current step, if it is due.
func (m *Migrator) propose(now time.Duration) {
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

// ActivationApplied records that the table of this version is active, which ends the plan that leads to it.
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

// MemberLeft notes that a process has ended its calls and makes no more.
func (m *Migrator) MemberLeft(process string) { delete(m.members, process) }

// Tick removes members whose lease has expired, and proposes the current step if it waits for no member. It returns
// the members that are waited for.
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
		m.propose(now)
	}
	return waiting
}
