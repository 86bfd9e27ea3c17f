package lease

import (
	"errors"
	"fmt"
)

// The reasons for which a Table rejects a command.
var (
	ErrUnknownDuty    = errors.New("unknown duty")
	ErrOldIndex       = errors.New("index already applied")
	ErrStaleClaim     = errors.New("lease renewed since it was observed")
	ErrNotLeaseHolder = errors.New("not the lease holder")
	ErrUnknownKind    = errors.New("unknown kind of command")
)

// ErrInvalidDuties is the error of a list of duties that is empty, too long, or names one twice.
var ErrInvalidDuties = errors.New("invalid duties")

// ErrInvalidSnapshot is the error of bytes that Table.Encode did not produce.
var ErrInvalidSnapshot = errors.New("invalid snapshot of a lease table")

// RejectedError says why a Table rejected a command. It wraps one of the reasons above.
type RejectedError struct {
	Duty     string // of the command
	Reason   error
	Found    string // in the command
	Expected string // by the table
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("duty %q: %v: found %s, expected %s", e.Duty, e.Reason, e.Found, e.Expected)
}

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Reason }
