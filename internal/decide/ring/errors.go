package ring

import (
	"errors"
	"fmt"
)

// ErrInvalidSnapshot is returned for a snapshot that ReplicatedState.Encode cannot have produced.
var ErrInvalidSnapshot = errors.New("invalid ring snapshot")

// ValueError reports a value that is out of range, in settings, in a table's backends or in a snapshot.
type ValueError struct {
	Field           string
	Found, Expected string
}

// Error names the field, the value found and the values expected.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Field, e.Found, e.Expected)
}

func newValueError(field string, found any, expected string, args ...any) *ValueError {
	return &ValueError{Field: field, Found: fmt.Sprint(found), Expected: fmt.Sprintf(expected, args...)}
}

// rangeCheck is the result of checking one field.
type rangeCheck struct {
	isValid  bool
	field    string
	found    any
	expected string
}

// firstInvalid returns a *ValueError for the first check that failed, or nil.
func firstInvalid(checks []rangeCheck) error {
	for _, c := range checks {
		if !c.isValid {
			return newValueError(c.field, c.found, "%s", c.expected)
		}
	}
	return nil
}
