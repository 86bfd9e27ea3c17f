package configuration

import "fmt"

// Reason classifies a rejection. It is an error itself, so that errors.Is(err, ReasonStale) tells the reason of any error
// that wraps a RejectionError.
type Reason uint8

// The reasons for a rejection. Nothing that is rejected changes the active state.
const (
	ReasonStale          Reason = 1 + iota // an older fencing token or version
	ReasonBaseMismatch                     // made on a version that is not the active one
	ReasonDigestMismatch                   // the content does not have the digest that it claims
	ReasonLimitExceeded                    // a size or count over its limit
	ReasonUnknownType                      // an unknown resource type or message kind
	ReasonMalformed                        // not a valid encoding
	ReasonNoQuorum                         // the replicated log is unreachable, so no change is accepted
	ReasonNotLeaseHolder                   // this control node does not hold the lease
	ReasonInFlight                         // the previous command is not committed yet; retry later
	ReasonUnknownSender                    // a reply from a process that is not a source of this member
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
	Detail string // what was found and expected, in one line
}

func (e *RejectionError) Error() string { return fmt.Sprintf("%v: %s", e.Reason, e.Detail) }

// Unwrap gives the reason to errors.Is.
func (e *RejectionError) Unwrap() error { return e.Reason }

func reject(reason Reason, format string, args ...any) error {
	return &RejectionError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
