package policy

import (
	"time"

	"go.uber.org/zap"
)

// RequestID names one request between the module and its host: an index that the host assigns before Arrived and may
// reuse once the module has called Release.
type RequestID int

// Rejection is what a rejected caller is told.
type Rejection struct {
	RetryAfter       time.Duration // earliest time for a retry, from now; 0: none given
	NoRetryElsewhere bool          // another server would not help
}

// Health is how the host answers health checks.
type Health struct {
	Healthy bool
	Cached  bool // deep checks are answered from this verdict without asking the runtime
}

// Host is what an instance acts through. Every request is named by a small index that the
// adapter gives out at the door and takes back on Release. No decision is made behind it.
type Host interface {
	Start(w RequestID)                         // put a held request on the cores
	Stop(w RequestID)                          // take a running one off them
	Reject(w RequestID, r Rejection)           // final answer to a request that has not run
	Fail(w RequestID)                          // final answer: an error
	Call(w RequestID, patience time.Duration)  // issue the call that the request stands at
	SkipCall(w RequestID)                      // go on without that call
	RecordKey(w RequestID, life time.Duration) // enter its key entry in the key table
	ForgetKey(w RequestID)                     // take the key entry out
	Coalesce(w RequestID)                      // answer a repeat from its forerunner's result
	SetHealth(h Health)                        // set how health checks are answered
	SetIdleTimeout(after time.Duration)        // close connections idle for so long
	Advertise(value float64)                   // the value that rides on all answers
	Wake(at time.Duration)                     // ask for one Tick at this time
	Release(w RequestID)                       // the module is done with this index
	Log(message string, fields ...zap.Field)   // one structured line for the operators
}

// Forerunners of a request that are no index.
const (
	NoOriginal   RequestID = -1 // a first arrival, as far as is known
	OriginalGone RequestID = -2 // a repeat of one that is no longer here
)

// Request is what is known of a request when it has been read.
type Request struct {
	Class, Tenant, Caller int
	ReadDelay             time.Duration // since it reached the machine
	CallerTimeout         time.Duration // what its caller still waits; 0: not told
	Retry                 bool          // marked as a further try
	CostHint              time.Duration // a guess of its work; 0: none
	Original              RequestID     // index of the one it repeats, or one of the above
	Priority              float64       // place among all by value, 0 to under 1
	MemoryKB              float64       // memory while held
}

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes; what the adapter does not know is Unknown.
const (
	Unknown       Outcome = iota // it may have run
	OK                           // done
	Failed                       // it failed, and may have had its effect
	Rejected                     // rejected unseen
	TimedOut                     // abandoned, may have run
	ConnectFailed                // never reached what lies below
	Reset                        // broke off, may have run
	Cancelled                    // stopped, or ended at a call
	NotStarted                   // nothing was started
)

// NeverRan tells whether the outcome proves that nothing was done.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotStarted }

// Gauges are the machine's own readings; a negative one is not offered.
type Gauges struct{ Busy, Runnable float64 }
