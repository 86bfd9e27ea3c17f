package rollout

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrInvalidSnapshot is the error of bytes that Rollout.Encode did not produce.
var ErrInvalidSnapshot = errors.New("invalid snapshot of a rollout")

// encodedRollout is a Rollout in a snapshot. The keys are part of its format.
type encodedRollout struct {
	Release  string         `json:"Want"`
	Drained  []drainRecord  `json:"Drained"`
	Attempts map[string]int `json:"Tries"`
}

// drainRecord is a drained process in a snapshot. Its time is by the clock of the member that encoded it.
type drainRecord struct {
	Name        string        `json:"Name"`
	Incarnation uint64        `json:"Life"`
	At          time.Duration `json:"At"`
}

// Encode returns the rollout for a snapshot.
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

// Decode replaces the rollout by a snapshot's; drained processes count as drained now. If the snapshot is not valid, it
// fails with ErrInvalidSnapshot and changes nothing.
func (r *Rollout) Decode(now time.Duration, snapshot []byte) error {
	var e encodedRollout
	if err := json.Unmarshal(snapshot, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if len(e.Drained) > MaxInstances {
		return fmt.Errorf("%w: drained: found %d, expected at most %d", ErrInvalidSnapshot, len(e.Drained), MaxInstances)
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
