package rolling

import (
	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/rollout"
)

// SnapshotState is a copy of the rollout on raft's goroutine, from which snapshots are taken. It uses no clock and records all
// drains at time 0.
type SnapshotState struct{ rollout *rollout.Rollout }

// NewSnapshotState returns the consensus.StateMachine for a Controller.
func NewSnapshotState() *SnapshotState { return &SnapshotState{rollout.New("")} }

// Apply implements consensus.StateMachine.
func (s *SnapshotState) Apply(_ uint64, entry lease.Command, outcome lease.Outcome) {
	if cmd, ok := decodeCommand(entry, outcome); ok {
		cmd.apply(s.rollout, 0)
	}
}

// Encode implements consensus.StateMachine.
func (s *SnapshotState) Encode() ([]byte, error) { return s.rollout.Encode() }

// Decode implements consensus.StateMachine.
func (s *SnapshotState) Decode(snapshot []byte) error { return s.rollout.Decode(0, snapshot) }
