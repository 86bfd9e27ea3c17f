package ring

import "slices"

// MaxMembers bounds the processes that call by a table.
const MaxMembers = 10000

// ReplicatedState is what every member derives from the log's entries in their order. It depends on no clock, so it is the
// same in all members.
type ReplicatedState struct {
	Active         *Table
	Pending        *Table // the table being migrated to; nil without a migration
	MigratingSlots []int

	// Participants are the processes that share grants, sorted by name; at most MaxMembers. There are some only while
	// the active table has a backend that is warming up.
	Participants      []string
	LastGrantSequence uint64 // Sequence of the last applied grant
}

// Freeze starts the migration to the next table. It returns false during another migration, and for a table that is
// not the next version.
func (s *ReplicatedState) Freeze(next *Table, slots []int) bool {
	if s.Pending != nil || next.Version != s.Active.Version+1 {
		return false
	}
	s.Pending, s.MigratingSlots = next, slots
	return true
}

// Activate ends the migration to this version. It returns false if that is not the pending one.
func (s *ReplicatedState) Activate(version uint64) bool {
	if s.Pending == nil || s.Pending.Version != version {
		return false
	}
	s.Active = s.Pending
	s.Pending = nil
	s.MigratingSlots = nil
	if !s.Active.HasWarmingUp() {
		s.Participants = nil
	}
	return true
}

// RecordAcknowledgement makes a process whose acknowledgement was accepted a participant of the next grants.
func (s *ReplicatedState) RecordAcknowledgement(process string) {
	index, known := slices.BinarySearch(s.Participants, process)
	if !known && s.Active.HasWarmingUp() && len(s.Participants) < MaxMembers {
		s.Participants = slices.Insert(s.Participants, index, process)
	}
}

// RemoveParticipant notes that a process makes no more calls.
func (s *ReplicatedState) RemoveParticipant(process string) {
	if index, known := slices.BinarySearch(s.Participants, process); known {
		s.Participants = slices.Delete(s.Participants, index, index+1)
	}
}

// ApplyGrant applies a grant's entry. It returns false for one that is not next in sequence, such as a duplicate.
func (s *ReplicatedState) ApplyGrant(g Grant) bool {
	if g.Sequence != s.LastGrantSequence+1 {
		return false
	}
	s.LastGrantSequence = g.Sequence
	for _, process := range g.Departed {
		s.RemoveParticipant(process)
	}
	return true
}

// AcceptsAcknowledgement reports whether an acknowledgement of a version renews its sender's lease. During a migration
// only that of the pending version does: otherwise a member that has not seen the freeze could renew its lease between the
// leader's decision to activate and the activation.
func (s *ReplicatedState) AcceptsAcknowledgement(version uint64) bool {
	if s.Pending != nil {
		return version >= s.Pending.Version
	}
	return version >= s.Active.Version
}
