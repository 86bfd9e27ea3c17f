package node

import (
	"errors"
	"fmt"
)

// Reasons of an AdmissionError, for errors.Is.
var (
	ErrUnknownClass  = errors.New("unknown class")
	ErrUnknownTenant = errors.New("unknown tenant")
	ErrDuplicateID   = errors.New("id is in use")
)

// AdmissionError is the error of a request that was not admitted because it is invalid. Its text is sent to the caller, and
// is that of its reason alone.
type AdmissionError struct {
	Reason error  // one of the reasons above
	Value  string // the class, tenant or id that was found
}

func (e *AdmissionError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *AdmissionError) Unwrap() error { return e.Reason }

// VersionError is the error of a settings delta that does not start from the version in force.
type VersionError struct{ From, InForce uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("settings: found a change of version %d, expected one of %d, which is in force", e.From, e.InForce)
}

// BoundError is the error of a settings delta that would leave too many resources of one kind.
type BoundError struct {
	Kind         string // "classes" or "tenants"
	Found, Bound int
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("settings.%s: found %d, expected at most %d", e.Kind, e.Found, e.Bound)
}
