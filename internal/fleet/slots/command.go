package slots

import (
	"encoding/json"
	"errors"
	"fmt"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
)

// command is the body of a log entry; exactly one field is set. The JSON keys are part of the log's format.
type command struct {
	Freeze   *freeze     `json:"freeze,omitempty"`
	Activate uint64      `json:"open,omitempty"` // the version of the table to activate
	Ack      uint64      `json:"ack,omitempty"`  // the newest table version that the sender has
	Left     bool        `json:"ends,omitempty"` // the sender has ended all calls and makes no more
	Grant    *ring.Grant `json:"lot,omitempty"`
}

// freeze starts the migration to a new table, which every member plans from these fields.
type freeze struct {
	Version  uint64         `json:"version"`
	Backends []ring.Backend `json:"backends"`
	Slack    float64        `json:"slack"`
	Digest   uint64         `json:"digest"`
}

func (c command) encode() string {
	encoded, _ := json.Marshal(c) // cannot fail for numbers, strings and slices of them
	return string(encoded)
}

// decodeCommand returns the command in an entry; ok is false unless that is an accepted entry of the ring.
func decodeCommand(entry lease.Command, outcome lease.Outcome) (c command, ok bool) {
	if entry.Duty != Duty || !outcome.Accepted || entry.Body == "" {
		return c, false
	}
	ok = json.Unmarshal([]byte(entry.Body), &c) == nil
	return c, ok
}

// errFreezeIgnored reports a freeze that cannot be applied: it is out of order, or its backends are invalid.
var errFreezeIgnored = errors.New("ring: freeze ignored: it is out of order or its backends are invalid")

// DigestMismatchError reports that a member's plan differs from the leader's.
type DigestMismatchError struct {
	Version         uint64
	Found, Expected uint64
}

// Error implements error.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("ring: table version %d: digest found %#x, expected %#x as planned by the leader (another build?); no more calls",
		e.Version, e.Found, e.Expected)
}

// applyFreeze plans the table that a freeze specifies, and starts the migration to it. It returns the table and the slots that
// migrate. Errors are errFreezeIgnored and *DigestMismatchError; they leave the state unchanged.
func applyFreeze(state *ring.ReplicatedState, f freeze) (next *ring.Table, slots []int, err error) {
	next, migrations, _, err := state.Active.Plan(f.Backends, ring.BalanceBound{Slack: f.Slack}, nil)
	if err != nil || next.Version != f.Version || state.Pending != nil {
		return nil, nil, errFreezeIgnored
	}
	if digest := next.Digest(); digest != f.Digest {
		return nil, nil, &DigestMismatchError{Version: next.Version, Found: digest, Expected: f.Digest}
	}
	for _, migration := range migrations {
		slots = append(slots, migration.Slot)
	}
	if !state.Freeze(next, slots) {
		return nil, nil, errFreezeIgnored
	}
	return next, slots, nil
}
