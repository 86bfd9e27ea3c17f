package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"thymechute/internal/decide/lease"
)

// StateMachine is a state that every member builds alike from the entries, on raft's goroutine. Its encoding replaces all
// entries so far in a member that joins late.
type StateMachine interface {
	Apply(index uint64, c lease.Command, o lease.Outcome)
	Encode() ([]byte, error)
	Decode(b []byte) error
}

// StateMachines are state machines by name. Each applies every entry, and sees its own encoding alone.
type StateMachines map[string]StateMachine

// ErrInvalidState is the error of bytes that StateMachines did not encode.
var ErrInvalidState = errors.New("invalid encoding of state machines")

// Apply implements StateMachine, in the order of the names.
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

// DecodeStates splits what StateMachines encoded into the states by name. Errors: ErrInvalidState.
func DecodeStates(b []byte) (map[string][]byte, error) {
	states := map[string][]byte{}
	if err := json.Unmarshal(b, &states); err != nil {
		return nil, fmt.Errorf("%w: found %d bytes, expected a JSON object: %w", ErrInvalidState, len(b), err)
	}
	return states, nil
}
