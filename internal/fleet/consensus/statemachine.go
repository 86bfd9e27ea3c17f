package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"thymechute/internal/decide/lease"
)

// StateMachine is replicated state: every member derives the same state from the log's entries. Its methods are called on
// raft's goroutine. A snapshot holds its encoding, so that a member that joins late need not replay the entries before it.
type StateMachine interface {
	Apply(index uint64, c lease.Command, o lease.Outcome)
	Encode() ([]byte, error)
	Decode(b []byte) error
}

// StateMachines combines state machines by name. Each applies every entry, and decodes only its own part of the encoding.
type StateMachines map[string]StateMachine

// ErrInvalidState reports bytes that are not an encoding of StateMachines.
var ErrInvalidState = errors.New("invalid encoding of state machines")

// Apply implements StateMachine. The state machines apply the entry in the order of their names.
func (m StateMachines) Apply(index uint64, c lease.Command, o lease.Outcome) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		m[name].Apply(index, c, o)
	}
}

// Encode implements StateMachine.
func (m StateMachines) Encode() ([]byte, error) {
	states := map[string][]byte{}
	for name, stateMachine := range m {
		b, err := stateMachine.Encode()
		if err != nil {
			return nil, fmt.Errorf("encode state machine %q: %w", name, err)
		}
		states[name] = b
	}
	return json.Marshal(states)
}

// Decode implements StateMachine.
func (m StateMachines) Decode(b []byte) error {
	states, err := DecodeStates(b)
	if err != nil {
		return err
	}
	for name, stateMachine := range m {
		if err := stateMachine.Decode(states[name]); err != nil {
			return fmt.Errorf("decode state machine %q: %w", name, err)
		}
	}
	return nil
}

// DecodeStates splits an encoding of StateMachines into the encoded state of each, by name. Errors: ErrInvalidState.
func DecodeStates(b []byte) (map[string][]byte, error) {
	states := map[string][]byte{}
	if err := json.Unmarshal(b, &states); err != nil {
		return nil, fmt.Errorf("%w: found %d bytes, expected a JSON object: %w", ErrInvalidState, len(b), err)
	}
	return states, nil
}
