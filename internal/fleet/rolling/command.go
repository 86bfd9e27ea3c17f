package rolling

import (
	"encoding/json"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/rollout"
)

// command is the body of a log entry: it changes the release or drains a process. The JSON keys are part of the log's format.
type command struct {
	Release     *string `json:"want,omitempty"`  // that all should run; nil if the entry drains a process
	Drain       string  `json:"drain,omitempty"` // name of the member to drain
	Incarnation uint64  `json:"life,omitempty"`  // of the process to drain
}

func (c command) encode() string {
	encoded, _ := json.Marshal(c) // cannot fail for strings and numbers
	return string(encoded)
}

// decodeCommand returns the command in an entry; ok is false unless that is an accepted decision of the rollout's leader.
func decodeCommand(entry lease.Command, outcome lease.Outcome) (c command, ok bool) {
	if entry.Duty != Duty || entry.Kind != lease.Decide || !outcome.Accepted {
		return c, false
	}
	ok = json.Unmarshal([]byte(entry.Body), &c) == nil
	return c, ok
}

// apply applies the command to a rollout, and reports whether it drains a process that was not drained before. All members
// change their rollouts in the same way.
func (c command) apply(r *rollout.Rollout, now time.Duration) (isNewDrain bool) {
	if c.Release != nil {
		r.SetRelease(*c.Release)
		return false
	}
	return c.Drain != "" && r.RecordDrain(now, c.Drain, c.Incarnation)
}
