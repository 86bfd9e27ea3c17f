package configuration

import "fmt"

// Reason classifies a rejection. It is an error itself, so that for example errors.Is(err, ReasonStale) holds for any error that
// wraps a RejectionError with that reason.
type Reason uint8

// The reasons for a rejection. A rejected command, message or resource never changes the active state.
const (
	ReasonStale          Reason = 1 + iota // an older fencing token or version
	ReasonBaseMismatch                     // the command is based on a version that is not the active one
	ReasonDigestMismatch                   // the content does not match its digest or checksum
	ReasonLimitExceeded                    // a size or count is out of its range
	ReasonUnknownType                      // an unknown resource type or message kind
	ReasonMalformed                        // not a valid encoding
	ReasonNoQuorum                         // the replicated log has not been confirmed recently, so no change is accepted
	ReasonNotLeaseHolder                   // this control node does not hold the lease
	ReasonInFlight                         // the previous command has not been applied yet; retry later
	ReasonUnknownSender                    // a reply from a process that is not a trusted source of the receiver
	ReasonNoEffect                         // a command without changes, or one that removes a resource that does not exist
)

var reasonNames = [...]string{
	ReasonStale:          "stale",
	ReasonBaseMismatch:   "base mismatch",
	ReasonDigestMismatch: "digest mismatch",
	ReasonLimitExceeded:  "limit exceeded",
	ReasonUnknownType:    "unknown type",
	ReasonMalformed:      "malformed",
	ReasonNoQuorum:       "no quorum",
	ReasonNotLeaseHolder: "not the lease holder",
	ReasonInFlight:       "command in flight",
	ReasonUnknownSender:  "unknown sender",
	ReasonNoEffect:       "no effect",
}

func (r Reason) String() string { return reasonNames[r] }

func (r Reason) Error() string { return "configuration: " + r.String() }

// RejectionError reports that a command, message or resource was rejected as a whole.
type RejectionError struct {
	Reason Reason
	Detail string // what was found and what was expected, in one line
}

func (e *RejectionError) Error() string { return fmt.Sprintf("%v: %s", e.Reason, e.Detail) }

// Unwrap returns the reason, for errors.Is.
func (e *RejectionError) Unwrap() error { return e.Reason }

func reject(reason Reason, format string, args ...any) error {
	return &RejectionError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
