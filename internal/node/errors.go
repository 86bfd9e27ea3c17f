package node

import (
	"errors"
	"fmt"
)

// Reasons of an AdmissionError, to be tested with errors.Is.
var (
	// ErrUnknownClass means that the request's class is not in force.
	ErrUnknownClass = errors.New("unknown class")
	// ErrUnknownTenant means that the request's tenant is not in force.
	ErrUnknownTenant = errors.New("unknown tenant")
	// ErrDuplicateID means that a request in flight has the same task id.
	ErrDuplicateID = errors.New("id is in use")
)

// AdmissionError is the error of an invalid request. Its text is sent to the caller, so it contains only the reason and not the
// value.
type AdmissionError struct {
	Reason error  // ErrUnknownClass, ErrUnknownTenant or ErrDuplicateID
	Value  string // the class, tenant or task id of the request
}

// Error returns the text of the reason.
func (e *AdmissionError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *AdmissionError) Unwrap() error { return e.Reason }

// VersionError is the error of a settings delta that does not apply to the version in force.
type VersionError struct {
	From    uint64 // version that the delta starts from
	InForce uint64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("settings delta: starts from version %d, expected %d, the version in force", e.From, e.InForce)
}

// BoundError is the error of a settings delta that would leave too many resources of one kind.
type BoundError struct {
	Kind  string // "classes" or "tenants"
	Found int    // resources in force after the delta
	Bound int
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("settings.%s: found %d after the delta, expected at most %d", e.Kind, e.Found, e.Bound)
}
