// This file owns the log's state machine. It must give the same outcome for the same entries in every member, so it
// knows no time and nothing of who is alive.

package lease

import (
	"fmt"
	"slices"
)

// Duty is what is agreed of one duty.
type Duty struct {
	Holder       string // "" where it was released or never claimed
	Incarnation  uint64 `json:"Life"`
	Token        uint64 // of the last holder; 0: never claimed
	RenewedIndex uint64 `json:"Renewed"` // index of the entry that last claimed, renewed or released it
	DecidedIndex uint64 `json:"Done"`    // index of its last decision
}

// Outcome is what became of an entry. Why says, where it was refused, what was found and expected, in one line.
type Outcome struct {
	Accepted bool
	Token    uint64 // of the duty after the entry
	Why      string
}

// Table is the state machine. The zero value holds no duty.
type Table struct {
	names  []string
	duties []Duty
	index  uint64 // of the last entry applied
}

// NewTable is of these duties. Errors: none, too many, one twice.
func NewTable(duties ...string) (*Table, error) {
	names := slices.Sorted(slices.Values(duties))
	if len(names) == 0 || len(names) > MaxDuties || len(slices.Compact(slices.Clone(names))) != len(names) {
		return nil, fmt.Errorf("duties: found %q, expected 1 to %d names, each once", duties, MaxDuties)
	}
	return &Table{names: names, duties: make([]Duty, len(names))}, nil
}

// Duties are their names in order.
func (t *Table) Duties() []string { return t.names }

// At is the state of one duty, and false where there is none of that name.
func (t *Table) At(duty string) (Duty, bool) {
	n, found := slices.BinarySearch(t.names, duty)
	if !found {
		return Duty{}, false
	}
	return t.duties[n], true
}

// Index is that of the last entry applied.
func (t *Table) Index() uint64 { return t.index }

// Copy is the table for a snapshot; it shares nothing that changes.
func (t *Table) Copy() *Table {
	return &Table{names: t.names, duties: slices.Clone(t.duties), index: t.index}
}

// Apply takes the entry at index, which must be over all before; one that is not is refused and changes nothing.
func (t *Table) Apply(index uint64, c Command) Outcome {
	n, found := slices.BinarySearch(t.names, c.Duty)
	if !found {
		return Outcome{Why: fmt.Sprintf("duty: found %q, expected one of %q", c.Duty, t.names)}
	}
	d := &t.duties[n]
	if index <= t.index {
		return Outcome{Token: d.Token, Why: fmt.Sprintf("index: found %d, expected over %d", index, t.index)}
	}
	t.index = index
	if c.Kind == Acquire {
		if c.ObservedIndex != d.RenewedIndex {
			return Outcome{Token: d.Token, Why: fmt.Sprintf("claim of %s: seen %d, expected %d", c.Duty, c.ObservedIndex, d.RenewedIndex)}
		}
		*d = Duty{Holder: c.Member, Incarnation: c.Incarnation, Token: d.Token + 1, RenewedIndex: index, DecidedIndex: d.DecidedIndex}
		return Outcome{Accepted: true, Token: d.Token}
	}
	if c.Kind == Announce {
		return Outcome{Accepted: true, Token: d.Token}
	}
	if !d.fits(c) {
		return Outcome{Token: d.Token, Why: fmt.Sprintf("%s: token %d of %s, expected %d of %s", c.Duty, c.Token, c.Member, d.Token, d.Holder)}
	}
	switch c.Kind {
	case Renew:
		d.RenewedIndex = index
	case Release:
		d.Holder, d.Incarnation, d.RenewedIndex = "", 0, index
	case Decide:
		d.DecidedIndex = index
	default:
		return Outcome{Token: d.Token, Why: fmt.Sprintf("%s: kind found %d, expected %d to %d", c.Duty, c.Kind, Acquire, Decide)}
	}
	return Outcome{Accepted: true, Token: d.Token}
}

// fits is the fence: a command is its present holder's own, under its present token.
func (d *Duty) fits(c Command) bool {
	return unfenced || c.Token == d.Token && c.Member == d.Holder && c.Incarnation == d.Incarnation
}

// unfenced is set by the tests' mutation run alone: with it every check must fail.
var unfenced = false
