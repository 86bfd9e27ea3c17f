package ring

import (
	"errors"
	"fmt"
)

// ErrInvalidSnapshot is the error of bytes that ReplicatedState.Encode did not produce.
var ErrInvalidSnapshot = errors.New("invalid snapshot of a ring")

// ValueError is a value out of its range, in settings or in a table's backends.
type ValueError struct {
	Field           string
	Found, Expected string
}

// Error names the field, what it is, and what it may be.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Field, e.Found, e.Expected)
}

func newValueError(field string, found any, expected string, args ...any) *ValueError {
	return &ValueError{Field: field, Found: fmt.Sprint(found), Expected: fmt.Sprintf(expected, args...)}
}

// rangeCheck is a condition on one field.
type rangeCheck struct {
	isValid  bool
	field    string
	found    any
	expected string
}

// firstInvalid returns a *ValueError of the first check that fails.
func firstInvalid(checks []rangeCheck) error {
	for _, c := range checks {
		if !c.isValid {
			return newValueError(c.field, c.found, "%s", c.expected)
		}
	}
	return nil
}
