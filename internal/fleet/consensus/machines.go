// This file owns several states over one log. It must never let one see another's encoding.

package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"thymechute/internal/decide/lease"
)

// StateMachines are states by name, each told of every entry.
type StateMachines map[string]StateMachine

// Apply implements Machine, in the order of the names.
func (m StateMachines) Apply(index uint64, c lease.Command, o lease.Outcome) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		m[name].Apply(index, c, o)
	}
}

// Encode implements Machine.
func (m StateMachines) Encode() ([]byte, error) {
	all := map[string][]byte{}
	for name, state := range m {
		b, err := state.Encode()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all[name] = b
	}
	return json.Marshal(all)
}

// Decode implements Machine.
func (m StateMachines) Decode(b []byte) error {
	all, err := DecodeStates(b)
	if err != nil {
		return err
	}
	for name, state := range m {
		if err := state.Decode(all[name]); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// DecodeStates takes what Machines encoded apart, by name.
func DecodeStates(b []byte) (map[string][]byte, error) {
	all := map[string][]byte{}
	if err := json.Unmarshal(b, &all); err != nil {
		return nil, fmt.Errorf("states: found no JSON object (%w)", err)
	}
	return all, nil
}
