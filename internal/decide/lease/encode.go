// This file owns the table's form in a snapshot. It must never take one that breaks a bound.

package lease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

type encoded struct {
	Index  uint64
	Duties map[string]Duty
}

// Encode is the table for a snapshot, as JSON.
func (t *Table) Encode() ([]byte, error) {
	e := encoded{Index: t.index, Duties: map[string]Duty{}}
	for n, name := range t.names {
		e.Duties[name] = t.duties[n]
	}
	return json.Marshal(e)
}

// Decode is the table of a snapshot. Errors: not one of ours.
func Decode(b []byte) (*Table, error) {
	var e encoded
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("table: found no JSON object (%w)", err)
	}
	t, err := NewTable(slices.Collect(maps.Keys(e.Duties))...)
	if err != nil {
		return nil, err
	}
	for n, name := range t.names {
		t.duties[n] = e.Duties[name]
	}
	t.index = e.Index
	return t, nil
}
