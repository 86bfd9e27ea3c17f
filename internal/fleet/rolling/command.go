package rolling

import (
	"encoding/json"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/rollout"
)

// command is the body of a log entry: another release, or the drain of a process. The keys are part of the log's format.
type command struct {
	Release     *string `json:"want,omitempty"`
	Drain       string  `json:"drain,omitempty"`
	Incarnation uint64  `json:"life,omitempty"`
}

func (c command) encode() string {
	encoded, _ := json.Marshal(c) // strings and numbers can't fail
	return string(encoded)
}

// decodeCommand returns the command of an accepted entry of the rollout.
func decodeCommand(entry lease.Command, outcome lease.Outcome) (c command, ok bool) {
	if entry.Duty != Duty || entry.Kind != lease.Decide || !outcome.Accepted {
		return c, false
	}
	ok = json.Unmarshal([]byte(entry.Body), &c) == nil
	return c, ok
}

// apply applies the command to a rollout, and reports whether it drains a process for the first time. All members
// change their rollouts in the same way.
func (c command) apply(r *rollout.Rollout, now time.Duration) (isNewDrain bool) {
	if c.Release != nil {
		r.SetRelease(*c.Release)
		return false
	}
	return c.Drain != "" && r.RecordDrain(now, c.Drain, c.Incarnation)
}
