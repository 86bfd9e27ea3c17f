// This file owns what one member may call by its copy of the table: by lease, and not while a slot moves. It must
// never let a keyed or effectful call outlive the lease that it was begun under.

package ring

import "time"

// Verdict on a call.
type Verdict uint8

// The verdicts; only Go and Stale name a backend.
const (
	Go      Verdict = iota // call it, to be over by the time that is told with it
	Stale                  // the table is not confirmed: only what may run twice may go
	Moving                 // the slot changes its holder: not now
	Expired                // the table is not confirmed, and this may not run twice
	Vacant                 // nobody holds the slot
	Warming                // its holder is cold, and this member has no call of a lot left for it
)

// Calls is one member's view. All times are by its own clock.
type Calls struct {
	table  *Table
	frozen map[int]bool // slots on the move; at most Slots, emptied by Opened
	until  time.Duration
	shares map[string]*share // of the last lot, by cold backend; replaced by each lot, of no use once over
}

// share is how many calls this member may still send a cold backend, to be over by until.
type share struct {
	left  int
	until time.Duration
}

// NewCalls is of a member that has heard of a table, and holds no lease on it yet.
func NewCalls(t *Table) *Calls { return &Calls{table: t, frozen: map[int]bool{}} }

// Table that it goes by.
func (c *Calls) Table() *Table { return c.table }

// Frozen: these slots are about to change their holder. What is out on them may end; the member acknowledges the
// version once none of it is left.
func (c *Calls) Frozen(slots []int) {
	for _, s := range slots {
		c.frozen[s] = true
	}
}

// Opened: this table is in force, and nothing moves.
func (c *Calls) Opened(t *Table) {
	c.table = t
	clear(c.frozen)
}

// Confirmed: an acknowledgement that this member sent at that time has come back to it in the log, so that nobody
// opens a later version without it before length less drift is over. Earlier ones change nothing.
func (c *Calls) Confirmed(sent time.Duration, l Terms) { c.until = max(c.until, sent+l.holds()) }

// Granted: a lot is in the log, of which this member has these calls by backend. The lease that the acknowledgements
// before the lot have brought bounds their use, so a member that stood still or hears the log late uses no old lot.
func (c *Calls) Granted(calls map[string]int) {
	c.shares = make(map[string]*share, len(calls))
	for backend, n := range calls {
		c.shares[backend] = &share{left: n, until: c.until}
	}
}

// warming takes a call of the share of a cold backend.
func (c *Calls) warming(now time.Duration, b *Backend) (*Backend, time.Duration, Verdict) {
	s := c.shares[b.Name]
	if s == nil || s.left == 0 || now >= s.until {
		return nil, 0, Warming
	}
	s.left--
	return b, s.until, Go
}

// May tells what a call on a slot may do now, and by when it must be over; twice: it may run twice without harm. Each Go
// to a cold backend uses up a call of this member's share.
func (c *Calls) May(now time.Duration, slot int, twice bool) (*Backend, time.Duration, Verdict) {
	b, held := c.table.Holder(slot)
	switch {
	case !held:
		return nil, 0, Vacant
	case c.frozen[slot]:
		return nil, 0, Moving
	case b.Cold:
		return c.warming(now, b)
	case now < c.until:
		return b, c.until, Go
	case twice:
		return b, 0, Stale
	}
	return nil, 0, Expired
}
