package ring

import "slices"

// MaxMembers is the largest number of processes that call backends by one table.
const MaxMembers = 10000

// ReplicatedState is the state that each member derives by applying the log's entries in order. It depends on no clock, so
// it is the same in all members.
type ReplicatedState struct {
	Active         *Table
	Pending        *Table // the table being migrated to; nil if no migration is in progress
	MigratingSlots []int  // frozen until the migration ends

	// Participants are the processes that grants are split among, sorted by name; at most MaxMembers. It is empty unless
	// a backend of the active table is warming up.
	Participants      []string
	LastGrantSequence uint64 // Sequence of the last applied grant
}

// Freeze starts the migration of these slots to the next table. It returns false, and does nothing, if another migration
// is in progress or the table's version does not follow the active one.
func (s *ReplicatedState) Freeze(next *Table, slots []int) bool {
	if s.Pending != nil || next.Version != s.Active.Version+1 {
		return false
	}
	s.Pending, s.MigratingSlots = next, slots
	return true
}

// Activate makes the pending table active, which ends the migration. It returns false if the pending table does not have
// this version.
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

// RecordAcknowledgement adds a process whose acknowledgement was accepted to the participants, if a backend of the active
// table is warming up.
func (s *ReplicatedState) RecordAcknowledgement(process string) {
	index, known := slices.BinarySearch(s.Participants, process)
	if !known && s.Active.HasWarmingUp() && len(s.Participants) < MaxMembers {
		s.Participants = slices.Insert(s.Participants, index, process)
	}
}

// RemoveParticipant removes a process that makes no more calls from the participants.
func (s *ReplicatedState) RemoveParticipant(process string) {
	if index, known := slices.BinarySearch(s.Participants, process); known {
		s.Participants = slices.Delete(s.Participants, index, index+1)
	}
}

// ApplyGrant applies the log entry of a grant. It returns false, and does nothing, if the grant is not the next in sequence,
// for example a duplicate.
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

// AcceptsAcknowledgement reports whether an acknowledgement of this table version renews its sender's lease. During a
// migration it must be of the pending version: otherwise a member that has not applied the freeze could renew its lease
// between the leader's decision to activate the table and the activation.
func (s *ReplicatedState) AcceptsAcknowledgement(version uint64) bool {
	if s.Pending != nil {
		return version >= s.Pending.Version
	}
	return version >= s.Active.Version
}
