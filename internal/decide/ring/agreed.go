// This file owns what the log agrees on of the ring: the table in force and the one being moved to. It must give the
// same answer in every member, so it knows no time.

package ring

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Agreed is the state that each member builds from the log's entries, in their order.
type Agreed struct {
	Table  *Table // in force
	Moving *Table // frozen for; nil: nothing moves
	Slots  []int  // that move

	// While the table has a cold backend:
	Roster []string // processes among which lots are split, by name; at most MostMembers, emptied by Left, Grant and Open
	Lot    uint64   // number of the last lot
}

// Freeze begins a move to the table's next version; false where one is under way or the version isn't the next.
func (a *Agreed) Freeze(next *Table, slots []int) bool {
	if a.Moving != nil || next.Version != a.Table.Version+1 {
		return false
	}
	a.Moving, a.Slots = next, slots
	return true
}

// Open ends it; false where it is of another version.
func (a *Agreed) Open(version uint64) bool {
	if a.Moving == nil || a.Moving.Version != version {
		return false
	}
	a.Table, a.Moving, a.Slots = a.Moving, nil, nil
	if !a.Table.Cold() {
		a.Roster = nil
	}
	return true
}

// Acknowledged: an acknowledgement of this process has been confirmed. Lots from now on are split with it.
func (a *Agreed) Acknowledged(process string) {
	at, known := slices.BinarySearch(a.Roster, process)
	if !known && a.Table.Cold() && len(a.Roster) < MostMembers {
		a.Roster = slices.Insert(a.Roster, at, process)
	}
}

// Left: this process makes no more calls.
func (a *Agreed) Left(process string) {
	if at, known := slices.BinarySearch(a.Roster, process); known {
		a.Roster = slices.Delete(a.Roster, at, at+1)
	}
}

// Grant is a lot's entry; false where it isn't the next, as with one that was said again.
func (a *Agreed) Grant(l Lot) bool {
	if l.Number != a.Lot+1 {
		return false
	}
	a.Lot = l.Number
	for _, process := range l.Gone {
		a.Left(process)
	}
	return true
}

// Confirms tells whether a member's acknowledgement of a version counts. From the freeze on, one that hasn't heard of
// it gets no lease: or it could be confirmed between the owner's decision to open and the opening, unseen by the owner.
func (a *Agreed) Confirms(version uint64) bool {
	if a.Moving != nil {
		return version >= a.Moving.Version
	}
	return version >= a.Table.Version
}

// Digest is the same for tables that hold alike: a member whose plan came out otherwise must not go by it.
func (t *Table) Digest() uint64 {
	h := xxhash.New()
	for _, b := range t.backends {
		_, _ = h.WriteString(b.Name + "\x00" + b.Zone + "\x00")
		if b.Cold {
			_, _ = h.WriteString("cold\x00")
		}
	}
	var two [2]byte
	for _, b := range t.slots {
		binary.LittleEndian.PutUint16(two[:], uint16(b))
		_, _ = h.Write(two[:])
	}
	return h.Sum64()
}

type encoded struct {
	Version  uint64
	Backends []Backend
	Slots    []byte // two bytes a slot, the least first
}

func (t *Table) encode() *encoded {
	if t == nil {
		return nil
	}
	e := &encoded{Version: t.Version, Backends: t.backends}
	for _, b := range t.slots {
		e.Slots = binary.LittleEndian.AppendUint16(e.Slots, uint16(b))
	}
	return e
}

func (e *encoded) decode() (*Table, error) {
	if e == nil {
		return nil, nil
	}
	t, err := New(len(e.Slots) / 2)
	if err != nil {
		return nil, err
	}
	t.Version = e.Version
	if len(e.Backends) > 0 {
		if t.backends, err = checked(e.Backends); err != nil {
			return nil, err
		}
	}
	t.alike = alike(t.backends)
	for s := range t.slots {
		if t.slots[s] = int16(binary.LittleEndian.Uint16(e.Slots[2*s:])); t.slots[s] < nobody || int(t.slots[s]) >= len(t.backends) {
			return nil, fmt.Errorf("slot %d: holder found %d, expected one of %d backends", s, t.slots[s], len(t.backends))
		}
	}
	return t, nil
}

// Encode is the state for a snapshot.
func (a *Agreed) Encode() ([]byte, error) {
	return json.Marshal(struct {
		Table, Moving *encoded
		Slots         []int
		Roster        []string `json:",omitempty"`
		Lot           uint64   `json:",omitempty"`
	}{a.Table.encode(), a.Moving.encode(), a.Slots, a.Roster, a.Lot})
}

// Decode takes a snapshot. Errors: not one of ours; then nothing changed.
func (a *Agreed) Decode(b []byte) error {
	var e struct {
		Table, Moving *encoded
		Slots         []int
		Roster        []string
		Lot           uint64
	}
	if err := json.Unmarshal(b, &e); err != nil {
		return fmt.Errorf("ring: found no JSON object (%w)", err)
	}
	table, err := e.Table.decode()
	if err == nil && table == nil {
		err = errors.New("ring: found no table")
	}
	if err != nil {
		return err
	}
	moving, err := e.Moving.decode()
	if err != nil {
		return err
	}
	if !slices.IsSorted(e.Roster) || len(e.Roster) > MostMembers {
		return fmt.Errorf("ring: found a roster of %d, expected at most %d in order", len(e.Roster), MostMembers)
	}
	a.Table, a.Moving, a.Slots, a.Roster, a.Lot = table, moving, e.Slots, e.Roster, e.Lot
	return nil
}
