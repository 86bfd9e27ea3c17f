package rollout

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrInvalidSnapshot is returned for data that Rollout.Encode did not produce.
var ErrInvalidSnapshot = errors.New("invalid rollout snapshot")

// encodedRollout is the snapshot format of a Rollout.
type encodedRollout struct {
	Release  string         `json:"Want"`
	Drained  []drainRecord  `json:"Drained"`
	Attempts map[string]int `json:"Tries"`
}

// drainRecord is the snapshot format of a drained process. At is the time of the drain by the clock of the member that
// encoded it; Decode ignores it, as clocks differ between members.
type drainRecord struct {
	Name        string        `json:"Name"`
	Incarnation uint64        `json:"Life"`
	At          time.Duration `json:"At"`
}

// Encode returns the rollout as JSON for a snapshot. Drained processes are sorted, so that equal rollouts encode to
// equal bytes.
func (r *Rollout) Encode() ([]byte, error) {
	e := encodedRollout{Release: r.Release, Attempts: r.attempts}
	for p, at := range r.drained {
		e.Drained = append(e.Drained, drainRecord{p.name, p.incarnation, at})
	}
	slices.SortFunc(e.Drained, func(x, y drainRecord) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return json.Marshal(e)
}

// Decode replaces the rollout by that of a snapshot; drained processes count as drained now. If the snapshot is invalid, it
// returns ErrInvalidSnapshot and changes nothing.
func (r *Rollout) Decode(now time.Duration, snapshot []byte) error {
	var e encodedRollout
	if err := json.Unmarshal(snapshot, &e); err != nil {
		return fmt.Errorf("%w: expected a JSON object: %w", ErrInvalidSnapshot, err)
	}
	if len(e.Drained) > MaxInstances {
		return fmt.Errorf("%w: found %d drained processes, expected at most %d", ErrInvalidSnapshot, len(e.Drained), MaxInstances)
	}
	*r = *New(e.Release)
	for _, d := range e.Drained {
		r.drained[process{d.Name, d.Incarnation}] = now
	}
	for name, n := range e.Attempts {
		r.attempts[name] = n
	}
	return nil
}
