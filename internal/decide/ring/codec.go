package ring

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const bytesPerSlot = 2

// Digest returns a hash that is the same for tables with the same assignment of slots. A member whose own plan has a
// different digest from the leader's must not use the plan.
func (t *Table) Digest() uint64 {
	h := xxhash.New()
	for _, b := range t.backends {
		_, _ = h.WriteString(b.Name + "\x00" + b.Zone + "\x00")
		if b.WarmingUp {
			_, _ = h.WriteString("cold\x00") // part of the digest's format
		}
	}
	var encoded [bytesPerSlot]byte
	for _, b := range t.slots {
		binary.LittleEndian.PutUint16(encoded[:], uint16(b))
		_, _ = h.Write(encoded[:])
	}
	return h.Sum64()
}

// encodedTable is the form of a table in a snapshot. The field names are part of the snapshot format.
type encodedTable struct {
	Version  uint64
	Backends []Backend
	Slots    []byte // index of the owner of each slot, bytesPerSlot each, little-endian
}

// encodedState is the form of a ReplicatedState in a snapshot. The JSON keys are part of the snapshot format.
type encodedState struct {
	Active            *encodedTable `json:"Table"`
	Pending           *encodedTable `json:"Moving"`
	MigratingSlots    []int         `json:"Slots"`
	Participants      []string      `json:"Roster,omitempty"`
	LastGrantSequence uint64        `json:"Lot,omitempty"`
}

// Encode returns a snapshot of the state.
func (s *ReplicatedState) Encode() ([]byte, error) {
	return json.Marshal(encodedState{
		Active:            s.Active.encode(),
		Pending:           s.Pending.encode(),
		MigratingSlots:    s.MigratingSlots,
		Participants:      s.Participants,
		LastGrantSequence: s.LastGrantSequence,
	})
}

// Decode replaces the state by that of a snapshot. If the snapshot is not valid, Decode fails with ErrInvalidSnapshot and
// leaves the state unchanged.
func (s *ReplicatedState) Decode(snapshot []byte) error {
	var e encodedState
	if err := json.Unmarshal(snapshot, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	state, err := e.decode()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	*s = state
	return nil
}

func (e *encodedState) decode() (state ReplicatedState, err error) {
	if e.Active == nil {
		return state, newValueError("active table", "none", "a table")
	}
	if !slices.IsSorted(e.Participants) || len(e.Participants) > MaxMembers {
		return state, newValueError("participants", len(e.Participants), "at most %d, sorted by name", MaxMembers)
	}
	state = ReplicatedState{MigratingSlots: e.MigratingSlots, Participants: e.Participants, LastGrantSequence: e.LastGrantSequence}
	if state.Active, err = e.Active.decode(); err != nil {
		return state, err
	}
	state.Pending, err = e.Pending.decode()
	return state, err
}

func (t *Table) encode() *encodedTable {
	if t == nil {
		return nil
	}
	e := &encodedTable{Version: t.Version, Backends: t.backends}
	for _, b := range t.slots {
		e.Slots = binary.LittleEndian.AppendUint16(e.Slots, uint16(b))
	}
	return e
}

func (e *encodedTable) decode() (*Table, error) {
	if e == nil {
		return nil, nil
	}
	t, err := New(len(e.Slots) / bytesPerSlot)
	if err != nil {
		return nil, err
	}
	t.Version = e.Version
	if len(e.Backends) > 0 {
		if t.backends, err = normalizeBackends(e.Backends); err != nil {
			return nil, err
		}
	}
	t.equalWeights = haveEqualWeights(t.backends)
	for slot := range t.slots {
		owner := int16(binary.LittleEndian.Uint16(e.Slots[bytesPerSlot*slot:]))
		if owner < unassigned || int(owner) >= len(t.backends) {
			return nil, newValueError(fmt.Sprint("owner of slot ", slot), owner, "-1 or the index of one of %d backends", len(t.backends))
		}
		t.slots[slot] = owner
	}
	return t, nil
}
