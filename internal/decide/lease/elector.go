package lease

import "time"

// Host connects an Elector to the log and to the code that runs the duties. The Elector calls it synchronously from its
// own methods.
type Host interface {
	// Propose submits a command to the log. The command may be lost or applied much later; the Elector retries claims
	// and renewals.
	Propose(c Command)
	// LeaseAcquired is called when this member becomes the lease holder of a duty, with its fencing token.
	LeaseAcquired(duty string, token uint64)
	// LeaseLost is called when this member stops being the lease holder: it must start no further work for the duty.
	LeaseLost(duty string)
}

// Elector claims, renews and releases leases for one member. After a lease has expired by the member's own clock, it
// proposes no more commands as its holder. All times are durations since the Elector's start, measured by that clock.
// A dutyPos parameter is a duty's position in Table.names.
type Elector struct {
	host         Host
	table        *Table // this member's replica, as far as it has applied the log
	config       Config
	member       string
	incarnation  uint64
	seq          uint64
	states       []electionState // in the order of Table.names
	isDraining   bool
	isCatchingUp bool // entries from before the start are still to be applied; one of them may renew a lease
}

// electionState is this member's local view of one duty's lease. It is not replicated.
type electionState struct {
	lastRenewal      time.Duration // when this member applied the last entry that acquired, renewed or released the lease
	isHolder         bool
	expiry           time.Duration // when this member must stop acting as the holder; valid while isHolder
	pendingSeq       uint64        // Seq of the pending proposal; 0 if none is pending
	proposedAt       time.Duration // when the last proposal was made
	earliestProposal time.Duration // no proposal is made before this time
	claimAt          time.Duration // when to claim the vacant lease; 0 if no claim is scheduled
	claimPosition    int           // this member's place in the order of claimants, from 0
}

// NewElector returns the elector of a member that has just started. table is its replica, empty or decoded from a
// snapshot. incarnation must differ from that of every earlier process of this member. The elector claims nothing until
// SetCaughtUp is called.
func NewElector(h Host, table *Table, config Config, member string, incarnation uint64) *Elector {
	return &Elector{host: h, table: table, config: config, member: member, incarnation: incarnation,
		states: make([]electionState, len(table.names)), isCatchingUp: true}
}

// SetCaughtUp records that the member has applied all entries that the log held when it started, so that none of them can
// still renew a lease. From then on it may claim leases; claimTimeout is counted from this call. Only the first call has
// an effect.
func (e *Elector) SetCaughtUp(now time.Duration) {
	if !e.isCatchingUp {
		return
	}
	e.isCatchingUp = false
	for dutyPos := range e.states {
		e.states[dutyPos].lastRenewal = now
	}
}

// SetClaimPosition sets this member's place in the order in which members claim a vacant duty; the default is 0.
// Members of the same position may claim at the same time; the table then rejects all claims but the first.
func (e *Elector) SetClaimPosition(duty string, position int) {
	if dutyPos, found := e.table.position(duty); found {
		e.states[dutyPos].claimPosition = max(position, 0)
	}
}

// Apply applies the log entry at index to the replica and returns its outcome. The caller must ask its Fence before it
// acts on an accepted decision.
func (e *Elector) Apply(now time.Duration, index uint64, c Command) Outcome {
	outcome := e.table.Apply(index, c)
	dutyPos, found := e.table.position(c.Duty)
	if !found {
		return outcome
	}
	s := &e.states[dutyPos]
	isOwn := c.Member == e.member && c.Incarnation == e.incarnation
	if isOwn && c.Seq == s.pendingSeq {
		s.pendingSeq = 0
		if outcome.Accepted && (c.Kind == Acquire || c.Kind == Renew) {
			e.extend(now, dutyPos, s.proposedAt)
		}
	}
	if outcome.Accepted && c.Kind != Decide && c.Kind != Announce {
		s.lastRenewal = now
	}
	e.expire(now, dutyPos)
	return outcome
}

// extend starts or extends this member's lease after its own entry was applied. The lease runs from when the entry was
// proposed; if it has expired by now, the entry grants nothing.
func (e *Elector) extend(now time.Duration, dutyPos int, proposedAt time.Duration) {
	s := &e.states[dutyPos]
	expiry := proposedAt + e.config.holderTimeout()
	if expiry <= now || !e.isHolderInTable(dutyPos) {
		return
	}
	wasHolder := s.isHolder
	s.isHolder = true
	s.expiry = expiry
	if !wasHolder {
		e.host.LeaseAcquired(e.table.names[dutyPos], e.table.duties[dutyPos].Token)
	}
}

// isHolderInTable reports whether the replica names this process as the holder.
func (e *Elector) isHolderInTable(dutyPos int) bool {
	d := e.table.duties[dutyPos]
	return d.Holder == e.member && d.Incarnation == e.incarnation
}

// expire gives up this member's lease if it has expired by the clock or the replica names another holder.
func (e *Elector) expire(now time.Duration, dutyPos int) {
	s := &e.states[dutyPos]
	if s.isHolder && (now >= s.expiry || !e.isHolderInTable(dutyPos)) {
		s.isHolder = false
		e.host.LeaseLost(e.table.names[dutyPos])
	}
}

// Restore replaces the replica's state by that of a decoded snapshot and drops all pending proposals. All leases count as
// renewed at this moment.
func (e *Elector) Restore(now time.Duration, t *Table) {
	for dutyPos, name := range e.table.names {
		if d, ok := t.Lookup(name); ok {
			e.table.duties[dutyPos] = d
		}
		e.states[dutyPos].lastRenewal = now
		e.states[dutyPos].pendingSeq = 0
		e.expire(now, dutyPos)
	}
	e.table.index = max(e.table.index, t.index)
}

// LeaseCount returns the number of leases held by this member.
func (e *Elector) LeaseCount() (count int) {
	for _, s := range e.states {
		if s.isHolder {
			count++
		}
	}
	return count
}

// Token returns a duty's current fencing token, and whether this member is the lease holder at this moment.
func (e *Elector) Token(now time.Duration, duty string) (token uint64, isHolder bool) {
	dutyPos, found := e.table.position(duty)
	if !found {
		return 0, false
	}
	e.expire(now, dutyPos)
	return e.table.duties[dutyPos].Token, e.states[dutyPos].isHolder
}
