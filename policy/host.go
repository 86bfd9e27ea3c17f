package policy

import (
	"time"

	"go.uber.org/zap"
)

// RequestID names one request between the module and its host: a small index that the host assigns before
// Admit and may reuse once the module has called Release.
type RequestID int

// Rejection is the advice to a rejected caller.
type Rejection struct {
	RetryAfter       time.Duration // earliest time for a retry, from now; 0: none given
	NoRetryElsewhere bool          // another server would not help
}

// Health is how the host answers health checks.
type Health struct {
	Healthy bool
	Cached  bool // deep checks are answered from this verdict without asking the runtime
}

// Host is what an instance acts through. It carries out decisions and makes none; its methods must not call
// the instance.
type Host interface {
	Start(id RequestID)                             // put a queued request on the cores
	Stop(id RequestID)                              // take a running one off them
	Reject(id RequestID, r Rejection)               // final answer to a request that has not run
	Fail(id RequestID)                              // final answer: an error
	Call(id RequestID, patience time.Duration)      // issue the call that the request waits for
	SkipCall(id RequestID)                          // go on without that call
	RecordKey(id RequestID, lifetime time.Duration) // enter its idempotency key in the key table
	ForgetKey(id RequestID)                         // take the key entry out
	Coalesce(id RequestID)                          // answer a retry from the result of its original
	SetHealth(h Health)                             // set how health checks are answered
	SetIdleTimeout(timeout time.Duration)           // close connections that are idle for so long
	Advertise(value float64)                        // the value that goes with all answers
	Wake(at time.Duration)                          // ask for one Tick at this time
	Release(id RequestID)                           // the module is done with this id
	Log(message string, fields ...zap.Field)        // one structured line for the operators
}

// Values of Request.Original that are no index.
const (
	NoOriginal   RequestID = -1 // a first attempt, as far as is known
	OriginalGone RequestID = -2 // a retry of a request that is no longer here
)

// Request is what is known of a request when it has been read.
type Request struct {
	Class, Tenant, Caller int
	ReadDelay             time.Duration // from its arrival at the machine to its reading
	CallerTimeout         time.Duration // for which its caller still waits; 0: unknown
	Retry                 bool          // marked as a retry
	CostHint              time.Duration // an estimate of its work; 0: none
	Original              RequestID     // index of the one it repeats, or one of the above
	Priority              float64       // rank among all requests by value, 0 to under 1
	MemoryKB              float64       // memory that it takes while it is queued
}

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes; one that the host does not know is Unknown.
const (
	Unknown       Outcome = iota // it may have run
	OK                           // completed
	Failed                       // it failed, and may have had its effect
	Rejected                     // rejected before any work
	TimedOut                     // abandoned, may have run
	ConnectFailed                // never reached the dependency
	Reset                        // the connection broke, it may have run
	Cancelled                    // stopped, or ended at a call
	NotStarted                   // nothing was started
)

// NeverRan reports whether the outcome proves that nothing was done.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotStarted }

// Gauges are the machine's own readings; a negative one is not available.
type Gauges struct {
	Busy     float64 // part of the cores that is busy
	Runnable float64 // threads that want a core
}
