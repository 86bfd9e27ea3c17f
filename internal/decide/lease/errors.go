package lease

import (
	"errors"
	"fmt"
)

// The reasons for which a Table rejects a command. A RejectedError adds the duty and the values found and expected.
var (
	ErrUnknownDuty    = errors.New("duty is not in the lease table")
	ErrOldIndex       = errors.New("log index already applied")
	ErrStaleClaim     = errors.New("claim does not name the log index of the last renewal")
	ErrNotLeaseHolder = errors.New("command is not from the lease holder")
	ErrUnknownKind    = errors.New("unknown command kind")
)

// ErrInvalidDuties is returned for a list of duties that is empty, too long, or contains a duplicate.
var ErrInvalidDuties = errors.New("invalid list of duties")

// ErrInvalidSnapshot is returned for data that Table.Encode did not produce.
var ErrInvalidSnapshot = errors.New("invalid lease table snapshot")

// RejectedError describes why a Table rejected a command. It wraps one of the reasons above.
type RejectedError struct {
	Duty     string // named by the command
	Reason   error  // one of the reasons above
	Found    string // value found in the entry
	Expected string // value that the table would accept
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("duty %q: %v: found %s, expected %s", e.Duty, e.Reason, e.Found, e.Expected)
}

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Reason }
