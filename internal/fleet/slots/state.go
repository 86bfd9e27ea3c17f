// This file owns the owner's words, and the agreed state for snapshots. It must never hold a member's own view.

package slots

import (
	"encoding/json"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
)

// mover says the owner's words; the Mover says them again where they are lost.
type mover struct{ k *Keeper }

// Freeze implements ring.MoverHost.
func (m mover) Freeze(next *ring.Table, _ []int) {
	m.decide(word{Freeze: &freeze{next.Version, next.Backends(), m.k.c.Band.Slack, next.Digest()}})
}

// Open implements ring.MoverHost.
func (m mover) Open(next *ring.Table) { m.decide(word{Open: next.Version}) }

func (m mover) decide(w word) {
	b, _ := json.Marshal(w)
	m.k.log.DecideNow(Duty, string(b))
}

// State is the same agreed state on raft's goroutine, for snapshots alone.
type State struct {
	c      Config
	agreed ring.Agreed
}

// NewState goes with a Keeper of the same Config, as the log's Machine.
func NewState(c Config) (*State, error) {
	empty, err := ring.New(c.Slots)
	return &State{c: c, agreed: ring.Agreed{Table: empty}}, err
}

// Apply implements log.Machine.
func (s *State) Apply(_ uint64, c lease.Command, o lease.Outcome) {
	if c.Duty != Duty || !o.Accepted || c.Kind == lease.Announce && !s.agreed.Table.Cold() {
		return // acknowledgements matter to the roster alone
	}
	var w word
	if json.Unmarshal([]byte(c.Body), &w) != nil {
		return
	}
	switch {
	case c.Kind == lease.Announce && w.Ends:
		s.agreed.Left(c.Member)
	case c.Kind == lease.Announce && w.Ack != 0 && s.agreed.Confirms(w.Ack):
		s.agreed.Acknowledged(c.Member)
	case c.Kind != lease.Decide:
	case w.Freeze != nil:
		s.c.follow(&s.agreed, *w.Freeze)
	case w.Open != 0:
		s.agreed.Open(w.Open)
	case w.Lot != nil:
		s.agreed.Grant(*w.Lot)
	}
}

// Encode implements log.Machine.
func (s *State) Encode() ([]byte, error) { return s.agreed.Encode() }

// Decode implements log.Machine.
func (s *State) Decode(b []byte) error { return s.agreed.Decode(b) }
