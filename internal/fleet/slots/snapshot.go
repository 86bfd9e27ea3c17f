package slots

import (
	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
)

// SnapshotState is a copy of the replicated state on raft's goroutine, from which snapshots are taken. It contains no state of
// a single member.
type SnapshotState struct {
	state ring.ReplicatedState
}

// NewSnapshotState returns the consensus.StateMachine for a Controller with the same Config. Errors: a number of slots that
// ring.New rejects.
func NewSnapshotState(config Config) (*SnapshotState, error) {
	empty, err := ring.New(config.Slots)
	return &SnapshotState{state: ring.ReplicatedState{Active: empty}}, err
}

// Apply implements consensus.StateMachine.
func (s *SnapshotState) Apply(_ uint64, entry lease.Command, outcome lease.Outcome) {
	if entry.Kind == lease.Announce && !s.state.Active.HasWarmingUp() {
		return // announcements only change the participants of grants, and there are none
	}
	cmd, ok := decodeCommand(entry, outcome)
	if !ok {
		return
	}
	switch entry.Kind {
	case lease.Decide:
		s.applyDecision(cmd)
	case lease.Announce:
		s.applyAnnouncement(entry.Member, cmd)
	}
}

func (s *SnapshotState) applyDecision(cmd command) {
	switch {
	case cmd.Freeze != nil:
		_, _, _ = applyFreeze(&s.state, *cmd.Freeze) // after an error the state is unchanged; the Controller reports it
	case cmd.Activate != 0:
		s.state.Activate(cmd.Activate)
	case cmd.Grant != nil:
		s.state.ApplyGrant(*cmd.Grant)
	}
}

func (s *SnapshotState) applyAnnouncement(member string, cmd command) {
	switch {
	case cmd.Left:
		s.state.RemoveParticipant(member)
	case cmd.Ack != 0 && s.state.AcceptsAcknowledgement(cmd.Ack):
		s.state.RecordAcknowledgement(member)
	}
}

// Encode implements consensus.StateMachine.
func (s *SnapshotState) Encode() ([]byte, error) { return s.state.Encode() }

// Decode implements consensus.StateMachine.
func (s *SnapshotState) Decode(snapshot []byte) error { return s.state.Decode(snapshot) }
