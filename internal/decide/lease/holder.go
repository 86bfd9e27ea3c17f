// This file owns one member's part: when it claims, renews and gives up, and when it takes itself for the holder. It
// must never issue a command past its own lease.

package lease

import "time"

const (
	firstTurns = 16 // members that claim one by one within a lease
	shy        = 8  // leases for which a member does not claim what it gave up
)

// Host is what a Holder acts through.
type Host interface {
	// Propose hands a command to the log. It may be lost, or be applied much later; the Holder tries again.
	Propose(c Command)
	// LeaseAcquired says that this member holds the duty from now on, and under which token.
	LeaseAcquired(duty string, token uint64)
	// LeaseLost says that it no longer does; what it was about to do must not be begun.
	LeaseLost(duty string)
}

// Elector drives one member. All times are spans since its start, by its own clock.
type Elector struct {
	host   Host
	table  *Table // its copy, as far as it has applied the log
	lease  Config
	member string
	life   uint64
	seq    uint64
	own    []own // by place in the table's names
	leaves bool
	behind bool // it has not caught up with the log: what it has not heard yet may be a renewal
}

// own is what this member knows of one duty beside the table.
type own struct {
	heard    time.Duration // when it applied the last entry that renewed it
	held     bool
	until    time.Duration // to which it may act, while held
	sent     uint64        // Seq of the proposal in flight; 0: none
	sentAt   time.Duration // when that was proposed
	nextTry  time.Duration
	standing time.Duration // when it claims, once the duty is free
	place    int           // its turn among those who would claim, from 0
}

// NewElector is of a member that has just started; table is its copy, empty or from a snapshot, and it is taken to have
// been renewed just now. life must differ from that of every process before it under this name.
func NewElector(h Host, table *Table, lease Config, member string, life uint64) *Elector {
	return &Elector{host: h, table: table, lease: lease, member: member, life: life, own: make([]own, len(table.names)), behind: true}
}

// SetCaughtUp: it has applied all that was in the log when it started, so from now on silence means something.
func (h *Elector) SetCaughtUp(now time.Duration) {
	if !h.behind {
		return
	}
	h.behind = false
	for n := range h.own {
		h.own[n].heard = now
	}
}

// Apply: the log's entry at index is in force here; it returns what became of it. A decision accepted is the
// caller's to act on, by its Guard.
func (h *Elector) Apply(now time.Duration, index uint64, c Command) Outcome {
	o := h.table.Apply(index, c)
	for n, name := range h.table.names {
		if name != c.Duty {
			continue
		}
		mine := c.Member == h.member && c.Incarnation == h.life
		if s := &h.own[n]; mine && c.Seq == s.sent {
			s.sent = 0
			if o.Accepted && (c.Kind == Acquire || c.Kind == Renew) {
				h.hold(now, n, s.sentAt)
			}
		}
		if o.Accepted && c.Kind != Decide && c.Kind != Announce {
			h.own[n].heard = now
		}
		h.check(now, n)
	}
	return o
}

// hold counts the lease from when its entry was proposed; an entry applied after that lease is over gives nothing.
func (h *Elector) hold(now time.Duration, n int, proposed time.Duration) {
	s := &h.own[n]
	until := proposed + h.lease.holds()
	if until <= now || !h.tableHas(n) {
		return
	}
	fresh := !s.held
	s.held, s.until = true, until
	if fresh {
		h.host.LeaseAcquired(h.table.names[n], h.table.duties[n].Token)
	}
}

func (h *Elector) tableHas(n int) bool {
	d := h.table.duties[n]
	return d.Holder == h.member && d.Incarnation == h.life
}

// check gives up what is over, by the clock or by the table.
func (h *Elector) check(now time.Duration, n int) {
	if s := &h.own[n]; s.held && (now >= s.until || !h.tableHas(n)) {
		s.held = false
		h.host.LeaseLost(h.table.names[n])
	}
}

// Tick comes often beside a lease, at least eight times in one: it gives up, renews and claims what is due.
func (h *Elector) Tick(now time.Duration) {
	for n := range h.own {
		h.check(now, n)
		s, d := &h.own[n], h.table.duties[n]
		if s.sent != 0 && now < s.sentAt+h.lease.Duration/2 || now < s.nextTry || h.leaves {
			continue
		}
		switch {
		case s.held && now >= s.until-h.lease.holds()*2/3:
			h.propose(now, n, Command{Kind: Renew, Token: d.Token})
		case !s.held && !h.behind && (d.Holder == "" || now-s.heard >= h.lease.waits()):
			// Who holds fewer claims sooner: duties spread where members are alike, and none waits for another.
			if s.standing == 0 {
				s.standing = now + time.Duration(h.LeaseCount())*h.lease.Duration/4 + h.turn(s.place) + 1
			}
			if now >= s.standing {
				s.standing = 0
				h.propose(now, n, Command{Kind: Acquire, ObservedIndex: d.RenewedIndex})
			}
		default:
			s.standing = 0
		}
	}
}

// SetClaimPosition: this member is the place-th to claim a duty that comes free, as the fleet's ranks have it; the same place in
// two members costs a refused claim, no more. Without it all claim at once.
func (h *Elector) SetClaimPosition(duty string, place int) {
	for n, name := range h.table.names {
		if name == duty {
			h.own[n].place = max(place, 0)
		}
	}
}

// turn is how long a place waits for those before it: the first few come one by one, the rest only where all of these
// are gone, so that a large fleet doesn't put a claim each into the log whenever a duty comes free.
func (h *Elector) turn(place int) time.Duration {
	if place < firstTurns {
		return time.Duration(place) * h.lease.Duration / firstTurns
	}
	return h.lease.Duration + time.Duration(place%(4*firstTurns))*h.lease.Duration/firstTurns
}

func (h *Elector) propose(now time.Duration, n int, c Command) {
	h.seq++
	c.Duty, c.Member, c.Incarnation, c.Seq = h.table.names[n], h.member, h.life, h.seq
	s := &h.own[n]
	s.sent, s.sentAt, s.nextTry = h.seq, now, now+h.lease.Duration/8
	h.host.Propose(c)
}

// LeaseCount is how many duties it holds.
func (h *Elector) LeaseCount() (held int) {
	for _, s := range h.own {
		if s.held {
			held++
		}
	}
	return held
}

// Token tells whether it holds the duty at this moment, and under which token.
func (h *Elector) Token(now time.Duration, duty string) (token uint64, ok bool) {
	for n, name := range h.table.names {
		if name == duty {
			h.check(now, n)
			return h.table.duties[n].Token, h.own[n].held
		}
	}
	return 0, false
}

// Decide proposes a decision under a duty; false where it doesn't hold it any more, and then nothing was proposed.
// Once proposed it may still be refused or lost: what becomes of it comes back by Applied.
func (h *Elector) Decide(now time.Duration, duty, body string) (seq uint64, ok bool) {
	token, held := h.Token(now, duty)
	if !held {
		return 0, false
	}
	h.seq++
	h.host.Propose(Command{Kind: Decide, Duty: duty, Member: h.member, Incarnation: h.life, Seq: h.seq, Token: token, Body: body})
	return h.seq, true
}

// Resign releases one duty, for another to take: this member claims it no more for some leases.
func (h *Elector) Resign(now time.Duration, duty string) {
	for n, name := range h.table.names {
		if h.check(now, n); name == duty && h.own[n].held {
			h.own[n].held = false
			h.propose(now, n, Command{Kind: Release, Token: h.table.duties[n].Token})
			h.own[n].nextTry = now + shy*h.lease.Duration
			h.host.LeaseLost(name)
		}
	}
}

// Announce puts a word of this member's own into the log, under no token.
func (h *Elector) Announce(duty, body string) (seq uint64) {
	h.seq++
	h.host.Propose(Command{Kind: Announce, Duty: duty, Member: h.member, Incarnation: h.life, Seq: h.seq, Body: body})
	return h.seq
}

// Drain: this process ends soon. It gives up what it holds, at once, and claims nothing more.
func (h *Elector) Drain(now time.Duration) {
	h.leaves = true
	for n, name := range h.table.names {
		if h.check(now, n); h.own[n].held {
			h.own[n].held = false
			h.propose(now, n, Command{Kind: Release, Token: h.table.duties[n].Token})
			h.host.LeaseLost(name)
		}
	}
}

// Restore: a snapshot took the place of the entries so far. What it renewed meanwhile is taken to have been renewed
// just now.
func (h *Elector) Restore(now time.Duration, t *Table) {
	for n, name := range h.table.names {
		if d, ok := t.At(name); ok {
			h.table.duties[n] = d
		}
		h.own[n].heard, h.own[n].sent = now, 0
		h.check(now, n)
	}
	h.table.index = max(h.table.index, t.index)
}
