package lease

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// tableSnapshot is the encoded form of a Table.
type tableSnapshot struct {
	Index  uint64               `json:"Index"`
	Duties map[string]DutyState `json:"Duties"`
}

// Encode returns the table as JSON for a snapshot. Equal tables encode to equal bytes.
func (t *Table) Encode() ([]byte, error) {
	s := tableSnapshot{Index: t.index, Duties: map[string]DutyState{}}
	for n, name := range t.names {
		s.Duties[name] = t.duties[n]
	}
	return json.Marshal(s)
}

// Decode returns the table from a snapshot that Encode produced. Errors: ErrInvalidSnapshot, ErrInvalidDuties.
func Decode(b []byte) (*Table, error) {
	var s tableSnapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: found %d bytes, expected a JSON object: %w", ErrInvalidSnapshot, len(b), err)
	}
	t, err := NewTable(slices.Collect(maps.Keys(s.Duties))...)
	if err != nil {
		return nil, err
	}
	for n, name := range t.names {
		t.duties[n] = s.Duties[name]
	}
	t.index = s.Index
	return t, nil
}
