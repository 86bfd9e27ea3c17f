// This file owns what the log agrees on of the ring: the table in force and the one being moved to. It must give the
// same answer in every member, so it knows no time.

package ring

// Agreed is the state that each member builds from the log's entries, in their order.
type Agreed struct {
	Table  *Table // in force
	Moving *Table // frozen for; nil: nothing moves
	Slots  []int  // that move
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
