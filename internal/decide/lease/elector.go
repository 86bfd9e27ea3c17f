package lease

import "time"

// Host is what an Elector acts through. Its methods are called from within the Elector's own.
type Host interface {
	// Propose hands a command to the log. It may be lost, or be applied much later; the Elector retries.
	Propose(c Command)
	// LeaseAcquired is called when this member becomes the holder of a duty, with its fencing token.
	LeaseAcquired(duty string, token uint64)
	// LeaseLost is called when this member ceases to be the holder: it must not begin any work of the duty.
	LeaseLost(duty string)
}

// Elector is one member's part in the election for each duty: it claims, renews and releases leases. It never issues a
// command after its own lease has expired. All times are durations since its start, by the member's own clock. In its
// methods n is the position of a duty in the table's names.
type Elector struct {
	host        Host
	table       *Table // this member's replica, as far as it has applied the log
	config      Config
	member      string
	incarnation uint64
	seq         uint64
	states      []electionState // by position in the table's names
	isDraining  bool
	isBehind    bool // it has not caught up with the log: a renewal may be among the entries to come
}

// electionState is this member's own state of a duty, which is not replicated.
type electionState struct {
	lastRenewal   time.Duration // when it applied the last entry that renewed the lease
	isHolder      bool
	expiry        time.Duration // until when it may act, if it is the holder
	pendingSeq    uint64        // of the pending proposal; 0 if there is none
	proposedAt    time.Duration // when that was proposed
	notBefore     time.Duration // earliest time of the next proposal
	claimAt       time.Duration // when it claims the vacant lease; 0 if that is not scheduled
	claimPosition int           // its position among the claimants, from 0
}

// NewElector returns the elector of a member that has just started. table is its replica, empty or from a snapshot, and
// counts as renewed just now. incarnation must differ from that of every earlier process of this member.
func NewElector(h Host, table *Table, config Config, member string, incarnation uint64) *Elector {
	return &Elector{host: h, table: table, config: config, member: member, incarnation: incarnation,
		states: make([]electionState, len(table.names)), isBehind: true}
}

// SetCaughtUp says that the member has applied all that the log held when it started: from now on, a missing renewal
// means that there was none. Calls after the first have no effect.
func (e *Elector) SetCaughtUp(now time.Duration) {
	if !e.isBehind {
		return
	}
	e.isBehind = false
	for n := range e.states {
		e.states[n].lastRenewal = now
	}
}

// SetClaimPosition sets this member's position in the order in which members claim a vacant duty. If two members have the
// same position, one claim is rejected, no more. Without positions all claim at once.
func (e *Elector) SetClaimPosition(duty string, position int) {
	if n, found := e.table.position(duty); found {
		e.states[n].claimPosition = max(position, 0)
	}
}

// Apply applies the log's entry at index to the replica and returns the outcome. Whether to act on an accepted decision is
// for the caller's Fence.
func (e *Elector) Apply(now time.Duration, index uint64, c Command) Outcome {
	outcome := e.table.Apply(index, c)
	n, found := e.table.position(c.Duty)
	if !found {
		return outcome
	}
	s := &e.states[n]
	isOwn := c.Member == e.member && c.Incarnation == e.incarnation
	if isOwn && c.Seq == s.pendingSeq {
		s.pendingSeq = 0
		if outcome.Accepted && (c.Kind == Acquire || c.Kind == Renew) {
			e.extend(now, n, s.proposedAt)
		}
	}
	if outcome.Accepted && c.Kind != Decide && c.Kind != Announce {
		s.lastRenewal = now
	}
	e.expire(now, n)
	return outcome
}

// extend counts the lease from when its entry was proposed. An entry applied after that lease has expired grants nothing.
func (e *Elector) extend(now time.Duration, n int, proposedAt time.Duration) {
	s := &e.states[n]
	expiry := proposedAt + e.config.holderTimeout()
	if expiry <= now || !e.isTableHolder(n) {
		return
	}
	wasHolder := s.isHolder
	s.isHolder = true
	s.expiry = expiry
	if !wasHolder {
		e.host.LeaseAcquired(e.table.names[n], e.table.duties[n].Token)
	}
}

// isTableHolder reports whether this process is the holder by the replica.
func (e *Elector) isTableHolder(n int) bool {
	d := e.table.duties[n]
	return d.Holder == e.member && d.Incarnation == e.incarnation
}

// expire gives up a lease that is over by the clock or by the table.
func (e *Elector) expire(now time.Duration, n int) {
	s := &e.states[n]
	if s.isHolder && (now >= s.expiry || !e.isTableHolder(n)) {
		s.isHolder = false
		e.host.LeaseLost(e.table.names[n])
	}
}

// Restore takes over a snapshot that replaced the entries so far. Its leases count as renewed just now.
func (e *Elector) Restore(now time.Duration, t *Table) {
	for n, name := range e.table.names {
		if d, ok := t.Lookup(name); ok {
			e.table.duties[n] = d
		}
		e.states[n].lastRenewal = now
		e.states[n].pendingSeq = 0
		e.expire(now, n)
	}
	e.table.index = max(e.table.index, t.index)
}

// LeaseCount returns the number of leases that this member holds.
func (e *Elector) LeaseCount() (count int) {
	for _, s := range e.states {
		if s.isHolder {
			count++
		}
	}
	return count
}

// Token returns the fencing token of a duty, and whether this member is the duty's holder at this moment.
func (e *Elector) Token(now time.Duration, duty string) (token uint64, isHolder bool) {
	n, found := e.table.position(duty)
	if !found {
		return 0, false
	}
	e.expire(now, n)
	return e.table.duties[n].Token, e.states[n].isHolder
}
