package lease

import (
	"fmt"
	"slices"
	"strconv"
)

// DutyState is the replicated state of one duty.
type DutyState struct {
	Holder       string `json:"Holder"`  // member; empty if the lease was released or never acquired
	Incarnation  uint64 `json:"Life"`    // of the holder; 0 without a holder
	Token        uint64 `json:"Token"`   // fencing token of the last holder; 0 if the lease was never acquired
	RenewedIndex uint64 `json:"Renewed"` // index of the entry that last acquired, renewed or released the lease
	DecidedIndex uint64 `json:"Done"`    // index of the entry with the last decision
}

// Outcome is the result of applying an entry.
type Outcome struct {
	Accepted bool
	Token    uint64 // fencing token of the duty after the entry
	Err      error  // a *RejectedError; nil if the entry was accepted
}

// Table is the replicated state machine of the log. Its state depends only on the applied entries, so all replicas that
// applied the same entries are equal. The zero value has no duties.
type Table struct {
	names  []string    // sorted
	duties []DutyState // in the order of names
	index  uint64      // of the last entry applied

	isFencingDisabled bool // set only by tests, to show that their checks detect missing fencing
}

// NewTable returns a table of duties without lease holders. Errors: ErrInvalidDuties.
func NewTable(duties ...string) (*Table, error) {
	names := slices.Sorted(slices.Values(duties))
	hasDuplicates := len(slices.Compact(slices.Clone(names))) != len(names)
	if len(names) == 0 || len(names) > MaxDuties || hasDuplicates {
		return nil, fmt.Errorf("%w: found %q, expected 1 to %d distinct names", ErrInvalidDuties, duties, MaxDuties)
	}
	return &Table{names: names, duties: make([]DutyState, len(names))}, nil
}

// Duties returns the names of the duties, sorted. The caller must not change the slice.
func (t *Table) Duties() []string { return t.names }

// Lookup returns the state of a duty, and whether the table has it.
func (t *Table) Lookup(duty string) (DutyState, bool) {
	n, found := t.position(duty)
	if !found {
		return DutyState{}, false
	}
	return t.duties[n], true
}

// position returns a duty's position in names, and whether the table has it.
func (t *Table) position(duty string) (int, bool) { return slices.BinarySearch(t.names, duty) }

// Index returns the index of the last entry applied.
func (t *Table) Index() uint64 { return t.index }

// Copy returns a table with equal state that can be changed independently of this one.
func (t *Table) Copy() *Table {
	replica := *t
	replica.duties = slices.Clone(t.duties)
	return &replica
}

// Apply applies the log entry at index. Indexes must increase: an entry at or below the last index, or for an unknown
// duty, is rejected and leaves the table unchanged.
func (t *Table) Apply(index uint64, c Command) Outcome {
	n, found := t.position(c.Duty)
	if !found {
		return Outcome{Err: &RejectedError{c.Duty, ErrUnknownDuty, strconv.Quote(c.Duty), fmt.Sprintf("one of %q", t.names)}}
	}
	duty := &t.duties[n]
	if index <= t.index {
		err := &RejectedError{c.Duty, ErrOldIndex, strconv.FormatUint(index, 10), fmt.Sprintf("above %d", t.index)}
		return Outcome{Token: duty.Token, Err: err}
	}
	t.index = index
	if err := t.applyTo(duty, index, c); err != nil {
		return Outcome{Token: duty.Token, Err: err}
	}
	return Outcome{Accepted: true, Token: duty.Token}
}

// applyTo applies a command to its duty. If it rejects the command, it returns a *RejectedError and leaves the duty
// unchanged.
func (t *Table) applyTo(d *DutyState, index uint64, c Command) error {
	switch c.Kind {
	case Announce:
		return nil
	case Acquire:
		return d.acquire(index, c)
	}
	if !t.isFencingDisabled && !d.isFromLeaseHolder(c) {
		found := fmt.Sprintf("token %d of %q (incarnation %d)", c.Token, c.Member, c.Incarnation)
		expected := fmt.Sprintf("token %d of %q (incarnation %d)", d.Token, d.Holder, d.Incarnation)
		return &RejectedError{c.Duty, ErrNotLeaseHolder, found, expected}
	}
	switch c.Kind {
	case Renew:
		d.RenewedIndex = index
	case Release:
		d.Holder = ""
		d.Incarnation = 0
		d.RenewedIndex = index
	case Decide:
		d.DecidedIndex = index
	default:
		return &RejectedError{c.Duty, ErrUnknownKind, strconv.Itoa(int(c.Kind)), fmt.Sprintf("%d to %d", Acquire, Announce)}
	}
	return nil
}

// acquire makes the command's process the holder under the next fencing token. It is a compare-and-set: it fails if the
// lease was acquired, renewed or released since the entry that the claimant observed last.
func (d *DutyState) acquire(index uint64, c Command) error {
	if c.ObservedIndex != d.RenewedIndex {
		found := strconv.FormatUint(c.ObservedIndex, 10)
		expected := strconv.FormatUint(d.RenewedIndex, 10)
		return &RejectedError{c.Duty, ErrStaleClaim, found, expected}
	}
	*d = DutyState{Holder: c.Member, Incarnation: c.Incarnation, Token: d.Token + 1, RenewedIndex: index, DecidedIndex: d.DecidedIndex}
	return nil
}

// isFromLeaseHolder reports whether a command comes from the current lease holder and carries the current fencing token.
func (d *DutyState) isFromLeaseHolder(c Command) bool {
	return c.Token == d.Token && c.Member == d.Holder && c.Incarnation == d.Incarnation
}
