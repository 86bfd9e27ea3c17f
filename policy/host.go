package policy

import (
	"time"

	"go.uber.org/zap"
)

// RequestID identifies a request between an Instance and its Host: an index from 0 that the host assigns
// before Admit and may reuse after Release. The instance's request table extends to the largest id.
type RequestID int

// Rejection tells a rejected caller when and where to retry.
type Rejection struct {
	RetryAfter       time.Duration // earliest retry, from now; 0: no advice
	NoRetryElsewhere bool          // a retry at another server would not help
}

// Health is how the host answers health checks.
type Health struct {
	Healthy      bool
	SkipSelfTest bool // deep health checks are answered with Healthy, without a self-test of the runtime
}

// Host carries out the decisions of an Instance. Its methods must not call the Instance.
type Host interface {
	Start(id RequestID)                             // start the run of a queued request
	Stop(id RequestID)                              // stop the run of a request
	Reject(id RequestID, rejection Rejection)       // final answer to a request that has not run
	Fail(id RequestID)                              // final answer: an error
	Call(id RequestID, timeout time.Duration)       // issue the call that the request waits for
	SkipCall(id RequestID)                          // continue the run without that call
	RecordKey(id RequestID, lifetime time.Duration) // add its idempotency key to the key table
	ForgetKey(id RequestID)                         // remove the key entry
	Coalesce(id RequestID)                          // answer a retry with the result of its original
	SetHealth(health Health)                        // set how health checks are answered
	SetIdleTimeout(timeout time.Duration)           // close connections that are idle for longer
	Advertise(value float64)                        // the load value to send with all answers
	Wake(at time.Duration)                          // call Tick once at this time
	Release(id RequestID)                           // the Instance no longer refers to this id
	Log(message string, fields ...zap.Field)        // write one structured log line
}

// Values of Request.Original that are not the id of a request.
const (
	NoOriginal   RequestID = -1 // not known to be a retry
	OriginalGone RequestID = -2 // a retry of a request that is no longer here
)

// Request describes a request that has been read.
type Request struct {
	Class         int           // index of its class; a request of an unknown class is rejected
	Tenant        int           // index of its tenant; a request of an unknown tenant has no quota
	Caller        int           // identifies its caller, to count distinct callers
	ReadDelay     time.Duration // from its arrival at the machine until it was read
	CallerTimeout time.Duration // how long its caller still waits; 0: unknown
	IsRetry       bool          // marked as a retry by its caller
	CostHint      time.Duration // estimate of its work; 0: none
	Original      RequestID     // the request that it retries, NoOriginal or OriginalGone
	Priority      float64       // rank among all requests by value, from 0 (lowest) to below 1
	MemoryKB      float64       // memory that it takes while it is queued
}

// Outcome is how a run or a call ended.
type Outcome int

// The outcomes of a run or a call.
const (
	Unknown       Outcome = iota // not known to the host; it may have run
	OK                           // completed
	Failed                       // failed; it may have had its effect
	Rejected                     // rejected before any work
	TimedOut                     // abandoned at its timeout; it may have run
	ConnectFailed                // never reached the dependency
	Reset                        // the connection broke; it may have run
	Cancelled                    // stopped, or ended while waiting for a call
	NotStarted                   // nothing was started
)

// NeverRan reports whether the outcome proves that no work was done.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotStarted }

// Gauges are measurements of the machine; a negative value is not available.
type Gauges struct {
	Busy     float64 // busy fraction of the cores, 0 to 1
	Runnable float64 // number of threads that run or wait for a core
}
