package lease

import "time"

const (
	// orderedClaimants is the number of members that claim a vacant duty one by one within one lease.
	orderedClaimants = 16
	// lateClaimSlots is the number of slots over which all others are spread after that lease.
	lateClaimSlots = 4 * orderedClaimants
	// resignBackoffLeases is the number of leases for which a member does not claim a duty it resigned.
	resignBackoffLeases = 8
)

// proposalTimeout is after how long a pending proposal counts as lost.
func (c Config) proposalTimeout() time.Duration { return c.Duration / 2 }

// proposalInterval is the shortest time between two proposals of a duty.
func (c Config) proposalInterval() time.Duration { return c.Duration / 8 }

// renewBefore is how long before the expiry a holder renews: the first third of its lease is over then.
func (c Config) renewBefore() time.Duration { return c.holderTimeout() * 2 / 3 }

// Tick expires, renews and claims what is due. It must be called at least eight times within a lease.
func (e *Elector) Tick(now time.Duration) {
	for n := range e.states {
		e.expire(now, n)
		s := &e.states[n]
		isPending := s.pendingSeq != 0 && now < s.proposedAt+e.config.proposalTimeout()
		if e.isDraining || isPending || now < s.notBefore {
			continue
		}
		switch {
		case s.isHolder && now >= s.expiry-e.config.renewBefore():
			e.propose(now, n, Command{Kind: Renew, Token: e.table.duties[n].Token})
		case !s.isHolder && e.isVacant(now, n):
			e.claim(now, n)
		default:
			s.claimAt = 0
		}
	}
}

// isVacant reports whether a duty has no holder, as far as this member can tell.
func (e *Elector) isVacant(now time.Duration, n int) bool {
	if e.isBehind {
		return false
	}
	return e.table.duties[n].Holder == "" || now-e.states[n].lastRenewal >= e.config.claimTimeout()
}

// claim proposes to acquire a vacant duty once it is this member's turn. A member that holds fewer leases claims sooner,
// so duties spread over members of equal position, and none waits for another.
func (e *Elector) claim(now time.Duration, n int) {
	s := &e.states[n]
	if s.claimAt == 0 {
		loadDelay := time.Duration(e.LeaseCount()) * e.config.Duration / 4
		s.claimAt = now + loadDelay + e.claimDelay(s.claimPosition) + 1
	}
	if now < s.claimAt {
		return
	}
	s.claimAt = 0
	e.propose(now, n, Command{Kind: Acquire, ObservedIndex: e.table.duties[n].RenewedIndex})
}

// claimDelay returns how long a position waits for those before it. The first orderedClaimants claim one by one. The others
// claim only if none of these has done so, so that a vacant duty of a large fleet does not cause a claim by each member.
func (e *Elector) claimDelay(position int) time.Duration {
	if position < orderedClaimants {
		return time.Duration(position) * e.config.Duration / orderedClaimants
	}
	return e.config.Duration + time.Duration(position%lateClaimSlots)*e.config.Duration/orderedClaimants
}

// propose hands a command about a lease to the log, and keeps it as the duty's pending proposal.
func (e *Elector) propose(now time.Duration, n int, c Command) {
	s := &e.states[n]
	c = e.command(e.table.names[n], c)
	s.pendingSeq = c.Seq
	s.proposedAt = now
	s.notBefore = now + e.config.proposalInterval()
	e.host.Propose(c)
}

// command completes a command with its duty, this process and the next sequence number.
func (e *Elector) command(duty string, c Command) Command {
	e.seq++
	c.Duty = duty
	c.Member = e.member
	c.Incarnation = e.incarnation
	c.Seq = e.seq
	return c
}

// Decide proposes a decision of a duty. It returns false, and has proposed nothing, if this member is not the holder. A
// proposed decision may still be rejected or lost: its outcome is that of Apply.
func (e *Elector) Decide(now time.Duration, duty, body string) (seq uint64, ok bool) {
	token, isHolder := e.Token(now, duty)
	if !isHolder {
		return 0, false
	}
	c := e.command(duty, Command{Kind: Decide, Token: token, Body: body})
	e.host.Propose(c)
	return c.Seq, true
}

// Announce proposes a message of this member's own, which needs no token.
func (e *Elector) Announce(duty, body string) (seq uint64) {
	c := e.command(duty, Command{Kind: Announce, Body: body})
	e.host.Propose(c)
	return c.Seq
}

// Resign releases one lease for another member to acquire: this member does not claim it again for some leases.
func (e *Elector) Resign(now time.Duration, duty string) {
	for n, name := range e.table.names {
		e.expire(now, n)
		if name == duty && e.states[n].isHolder {
			e.release(now, n, resignBackoffLeases*e.config.Duration)
		}
	}
}

// Drain prepares for the end of this process: it releases all leases at once, and claims no more.
func (e *Elector) Drain(now time.Duration) {
	e.isDraining = true
	for n := range e.states {
		e.expire(now, n)
		if e.states[n].isHolder {
			e.release(now, n, e.config.proposalInterval())
		}
	}
}

// release proposes to end a lease, and claims it no sooner than after the backoff.
func (e *Elector) release(now time.Duration, n int, backoff time.Duration) {
	s := &e.states[n]
	s.isHolder = false
	e.propose(now, n, Command{Kind: Release, Token: e.table.duties[n].Token})
	s.notBefore = now + backoff
	e.host.LeaseLost(e.table.names[n])
}
