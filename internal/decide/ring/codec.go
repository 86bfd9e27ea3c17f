package ring

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const bytesPerSlot = 2

var (
	errNoTable      = errors.New("ring: found no table, expected the active one")
	errParticipants = errors.New("ring: participants out of order or too many")
)

// Digest returns a hash that is the same for tables with the same assignment. A member whose plan has another digest
// than the leader's must not use it.
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

// encodedTable is a table in a snapshot.
type encodedTable struct {
	Version  uint64
	Backends []Backend
	Slots    []byte // bytesPerSlot each, little-endian
}

// encodedState is a ReplicatedState in a snapshot. The keys are part of its format.
type encodedState struct {
	Active         *encodedTable `json:"Table"`
	Pending        *encodedTable `json:"Moving"`
	MigratingSlots []int         `json:"Slots"`
	Participants   []string      `json:"Roster,omitempty"`
	LastGrant      uint64        `json:"Lot,omitempty"`
}

// Encode returns the state for a snapshot.
func (s *ReplicatedState) Encode() ([]byte, error) {
	return json.Marshal(encodedState{
		Active:         s.Active.encode(),
		Pending:        s.Pending.encode(),
		MigratingSlots: s.MigratingSlots,
		Participants:   s.Participants,
		LastGrant:      s.LastGrant,
	})
}

// Decode replaces the state by a snapshot's. If the snapshot is not valid it fails and changes nothing.
func (s *ReplicatedState) Decode(snapshot []byte) error {
	var e encodedState
	if err := json.Unmarshal(snapshot, &e); err != nil {
		return fmt.Errorf("ring: found no JSON object (%w)", err)
	}
	if e.Active == nil {
		return errNoTable
	}
	active, err := e.Active.decode()
	if err != nil {
		return err
	}
	pending, err := e.Pending.decode()
	if err != nil {
		return err
	}
	if !slices.IsSorted(e.Participants) || len(e.Participants) > MaxMembers {
		return fmt.Errorf("%w: found %d, expected at most %d in order", errParticipants, len(e.Participants), MaxMembers)
	}
	*s = ReplicatedState{Active: active, Pending: pending, MigratingSlots: e.MigratingSlots, Participants: e.Participants, LastGrant: e.LastGrant}
	return nil
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
			return nil, fmt.Errorf("slot %d: owner found %d, expected one of %d backends", slot, owner, len(t.backends))
		}
		t.slots[slot] = owner
	}
	return t, nil
}
