package slots

import (
	"encoding/json"
	"errors"
	"fmt"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
)

// command is the body of a log entry; exactly one field is set. The keys are part of the log's format.
type command struct {
	Freeze   *freeze     `json:"freeze,omitempty"`
	Activate uint64      `json:"open,omitempty"` // a version
	Ack      uint64      `json:"ack,omitempty"`  // the version that the sender uses
	Left     bool        `json:"ends,omitempty"` // the sender has ended its calls and makes no more
	Grant    *ring.Grant `json:"lot,omitempty"`
}

// freeze starts the migration to a table that every member plans for itself.
type freeze struct {
	Version  uint64         `json:"version"`
	Backends []ring.Backend `json:"backends"`
	Slack    float64        `json:"slack"`
	Digest   uint64         `json:"digest"`
}

func (c command) encode() string {
	encoded, _ := json.Marshal(c) // numbers, strings and slices of them can't fail
	return string(encoded)
}

// decodeCommand returns the command of an accepted entry of the ring.
func decodeCommand(entry lease.Command, outcome lease.Outcome) (c command, ok bool) {
	if entry.Duty != Duty || !outcome.Accepted || entry.Body == "" {
		return c, false
	}
	ok = json.Unmarshal([]byte(entry.Body), &c) == nil
	return c, ok
}

// errFreezeIgnored is a freeze that does not apply: out of order, or of backends that are not valid.
var errFreezeIgnored = errors.New("ring: freeze does not apply to the active table")

// DigestMismatchError is a plan that differs from the leader's.
type DigestMismatchError struct {
	Version         uint64
	Found, Expected uint64
}

// Error names the version and both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("ring: table %d: digest found %#x, expected %#x as planned by the leader; no calls by it (another build?)",
		e.Version, e.Found, e.Expected)
}

// applyFreeze plans the table that a freeze asks for, and starts the migration to it. It returns the slots that migrate.
// It fails with errFreezeIgnored or a *DigestMismatchError, and then changes nothing.
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
