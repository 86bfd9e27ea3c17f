package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

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

// Decode replaces the rollout by a snapshot's; drained processes count as drained now. If the snapshot is not valid it
// fails and changes nothing.
func (r *Rollout) Decode(now time.Duration, snapshot []byte) error {
	var e encodedRollout
	if err := json.Unmarshal(snapshot, &e); err != nil {
		return fmt.Errorf("rollout: found no JSON object (%w)", err)
	}
	if len(e.Drained) > MaxInstances {
		return fmt.Errorf("rollout: found %d drained, expected at most %d", len(e.Drained), MaxInstances)
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
