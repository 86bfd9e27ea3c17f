package lease

import "time"

const (
	// orderedClaimants is the number of members that claim a vacant duty one after another, spread over one lease duration.
	orderedClaimants = 16
	// lateClaimDelays is the number of distinct delays over which the claims of all other members are spread afterwards.
	lateClaimDelays = 4 * orderedClaimants
	// resignBackoffLeases is for how many lease durations a member does not claim a duty that it resigned.
	resignBackoffLeases = 8
)

// proposalTimeout is the time after which a pending proposal counts as lost.
func (c Config) proposalTimeout() time.Duration { return c.Duration / 2 }

// proposalInterval is the minimum time between two lease proposals for one duty.
func (c Config) proposalInterval() time.Duration { return c.Duration / 8 }

// renewBefore is how long before its lease expires a holder renews it, which is after one third of the lease.
func (c Config) renewBefore() time.Duration { return c.holderTimeout() * 2 / 3 }

// Tick expires, renews and claims leases that are due. It must be called at least eight times per lease duration.
func (e *Elector) Tick(now time.Duration) {
	for dutyPos := range e.states {
		e.expire(now, dutyPos)
		s := &e.states[dutyPos]
		isPending := s.pendingSeq != 0 && now < s.proposedAt+e.config.proposalTimeout()
		if e.isDraining || isPending || now < s.earliestProposal {
			continue
		}
		switch {
		case s.isHolder && now >= s.expiry-e.config.renewBefore():
			e.propose(now, dutyPos, Command{Kind: Renew, Token: e.table.duties[dutyPos].Token})
		case !s.isHolder && e.isVacant(now, dutyPos):
			e.claim(now, dutyPos)
		default:
			s.claimAt = 0
		}
	}
}

// isVacant reports whether this member may claim a duty: the lease was released, never acquired, or not renewed for
// claimTimeout.
func (e *Elector) isVacant(now time.Duration, dutyPos int) bool {
	if e.isCatchingUp {
		return false
	}
	return e.table.duties[dutyPos].Holder == "" || now-e.states[dutyPos].lastRenewal >= e.config.claimTimeout()
}

// claim proposes to acquire a vacant lease after this member's claim delay. A member that holds more leases waits longer,
// so that duties spread over members of equal claim position. The delay is fixed: no member waits for another's claim.
func (e *Elector) claim(now time.Duration, dutyPos int) {
	s := &e.states[dutyPos]
	if s.claimAt == 0 {
		loadDelay := time.Duration(e.LeaseCount()) * e.config.Duration / 4
		s.claimAt = now + loadDelay + e.claimDelay(s.claimPosition) + 1
	}
	if now < s.claimAt {
		return
	}
	s.claimAt = 0
	e.propose(now, dutyPos, Command{Kind: Acquire, ObservedIndex: e.table.duties[dutyPos].RenewedIndex})
}

// claimDelay returns how long the member at a claim position waits before it claims. The first orderedClaimants claim one
// after another. The others claim only if none of these has succeeded within a lease duration; otherwise a vacant duty
// in a large fleet would cause one claim per member.
func (e *Elector) claimDelay(position int) time.Duration {
	if position < orderedClaimants {
		return time.Duration(position) * e.config.Duration / orderedClaimants
	}
	return e.config.Duration + time.Duration(position%lateClaimDelays)*e.config.Duration/orderedClaimants
}

// propose submits a lease command to the log and records it as the duty's pending proposal.
func (e *Elector) propose(now time.Duration, dutyPos int, c Command) {
	s := &e.states[dutyPos]
	c = e.completeCommand(e.table.names[dutyPos], c)
	s.pendingSeq = c.Seq
	s.proposedAt = now
	s.earliestProposal = now + e.config.proposalInterval()
	e.host.Propose(c)
}

// completeCommand fills in a command's duty, this process and the next sequence number.
func (e *Elector) completeCommand(duty string, c Command) Command {
	e.seq++
	c.Duty = duty
	c.Member = e.member
	c.Incarnation = e.incarnation
	c.Seq = e.seq
	return c
}

// Decide proposes a decision for a duty. If this member is not the lease holder, it proposes nothing and returns false.
// A proposed decision may still be lost, or be rejected when it is applied.
func (e *Elector) Decide(now time.Duration, duty, body string) (seq uint64, ok bool) {
	token, isHolder := e.Token(now, duty)
	if !isHolder {
		return 0, false
	}
	c := e.completeCommand(duty, Command{Kind: Decide, Token: token, Body: body})
	e.host.Propose(c)
	return c.Seq, true
}

// Announce proposes a message from this member about a duty. It needs no lease.
func (e *Elector) Announce(duty, body string) (seq uint64) {
	c := e.completeCommand(duty, Command{Kind: Announce, Body: body})
	e.host.Propose(c)
	return c.Seq
}

// Resign releases one lease so that another member acquires it: this member does not claim it for resignBackoffLeases.
func (e *Elector) Resign(now time.Duration, duty string) {
	for dutyPos, name := range e.table.names {
		e.expire(now, dutyPos)
		if name == duty && e.states[dutyPos].isHolder {
			e.release(now, dutyPos, resignBackoffLeases*e.config.Duration)
		}
	}
}

// Drain prepares for shutdown: it releases all leases immediately and stops claiming.
func (e *Elector) Drain(now time.Duration) {
	e.isDraining = true
	for dutyPos := range e.states {
		e.expire(now, dutyPos)
		if e.states[dutyPos].isHolder {
			e.release(now, dutyPos, e.config.proposalInterval())
		}
	}
}

// release gives up a lease, proposes its release, and prevents a new claim until the backoff has passed.
func (e *Elector) release(now time.Duration, dutyPos int, backoff time.Duration) {
	s := &e.states[dutyPos]
	s.isHolder = false
	e.propose(now, dutyPos, Command{Kind: Release, Token: e.table.duties[dutyPos].Token})
	s.earliestProposal = now + backoff
	e.host.LeaseLost(e.table.names[dutyPos])
}
