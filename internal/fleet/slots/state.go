// This file owns the owner's words, and the agreed state for snapshots. It must never hold a member's own view.

package slots

import (
	"encoding/json"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
)

// mover says the owner's words; the Mover says them again where they are lost.
type mover struct{ k *Keeper }

// ProposeFreeze implements ring.MoverHost.
func (m mover) ProposeFreeze(next *ring.Table, _ []int) {
	m.decide(word{Freeze: &freeze{next.Version, next.Backends(), m.k.c.Band.Slack, next.Digest()}})
}

// ProposeActivation implements ring.MoverHost.
func (m mover) ProposeActivation(next *ring.Table) { m.decide(word{Open: next.Version}) }

func (m mover) decide(w word) {
	b, _ := json.Marshal(w)
	m.k.log.DecideNow(Duty, string(b))
}

// State is the same agreed state on raft's goroutine, for snapshots alone.
type State struct {
	c      Config
	agreed ring.ReplicatedState
}

// NewState goes with a Keeper of the same Config, as the log's Machine.
func NewState(c Config) (*State, error) {
	empty, err := ring.New(c.Slots)
	return &State{c: c, agreed: ring.ReplicatedState{Active: empty}}, err
}

// Apply implements log.Machine.
func (s *State) Apply(_ uint64, c lease.Command, o lease.Outcome) {
	if c.Duty != Duty || !o.Accepted || c.Kind == lease.Announce && !s.agreed.Active.HasWarmingUp() {
		return // acknowledgements matter to the roster alone
	}
	var w word
	if json.Unmarshal([]byte(c.Body), &w) != nil {
		return
	}
	switch {
	case c.Kind == lease.Announce && w.Ends:
		s.agreed.RemoveParticipant(c.Member)
	case c.Kind == lease.Announce && w.Ack != 0 && s.agreed.AcceptsAcknowledgement(w.Ack):
		s.agreed.RecordAcknowledgement(c.Member)
	case c.Kind != lease.Decide:
	case w.Freeze != nil:
		s.c.follow(&s.agreed, *w.Freeze)
	case w.Open != 0:
		s.agreed.Activate(w.Open)
	case w.Lot != nil:
		s.agreed.ApplyGrant(*w.Lot)
	}
}

// Encode implements log.Machine.
func (s *State) Encode() ([]byte, error) { return s.agreed.Encode() }

// Decode implements log.Machine.
func (s *State) Decode(b []byte) error { return s.agreed.Decode(b) }
