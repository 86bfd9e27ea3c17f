package membership

import (
	"errors"
	"fmt"
)

// ErrViewFull reports that a peer was rejected because the view holds Config.MaxMembers members.
var ErrViewFull = errors.New("membership view is full")

// ConfigError reports an invalid setting.
type ConfigError struct {
	Setting         string
	Found, Expected string
	Err             error // the cause; may be nil
}

// Error implements error.
func (e *ConfigError) Error() string {
	text := fmt.Sprintf("fleet setting %s: found %s, expected %s", e.Setting, e.Found, e.Expected)
	if e.Err != nil {
		text += fmt.Sprintf(" (%v)", e.Err)
	}
	return text
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// RecordError reports an invalid Record.
type RecordError struct {
	Member          string // the member that published the record
	Field           string // empty for the record as a whole
	Found, Expected string
	Err             error // the cause; may be nil
}

// Error implements error.
func (e *RecordError) Error() string {
	text := fmt.Sprintf("record of member %q:", e.Member)
	if e.Field != "" {
		text += " field " + e.Field
	}
	text += fmt.Sprintf(" found %s, expected %s", e.Found, e.Expected)
	if e.Err != nil {
		text += fmt.Sprintf(" (%v)", e.Err)
	}
	return text
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// MessageTooLongError reports a message longer than MaxMessageSize.
type MessageTooLongError struct {
	Member string // the recipient
	Bytes  int
}

// Error implements error.
func (e *MessageTooLongError) Error() string {
	return fmt.Sprintf("message to member %q: found %d bytes, expected at most %d", e.Member, e.Bytes, MaxMessageSize)
}

// UnknownMemberError reports a recipient that is not in the view.
type UnknownMemberError struct{ Member string }

// Error implements error.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("message to member %q: no such member in the view", e.Member)
}
