package node

import (
	"time"

	"thymechute/policy"
)

// MessageID is the id of a message on the connection that brought it; the answer carries it back.
type MessageID string

// TaskID is a request's id towards the runtime and the dependency; no two requests in flight share one.
type TaskID string

// Request is a request as a protocol's front decodes it.
type Request struct {
	ID                  TaskID
	Class               string
	Tenant              string // empty: none
	Key                 string // idempotency key; empty: none
	Subject             string
	ReceivedAt          time.Time     // when it reached this machine
	CallerTimeout       time.Duration // how long the caller waits from ReceivedAt; 0: unknown
	Caller              int
	IsRetry             bool
	MayHaveRunElsewhere bool // an earlier attempt may have run at an instance that shares no keys with this one
	MemoryKB            float64
	Priority            float64
	Body                []byte
}

// Status is the final result of a request.
type Status int

// Values of Status.
const (
	Served Status = iota
	Rejected
	Failed
)

// Cause tells why a request failed, where the instance itself and not the controller knows it.
type Cause int

// Values of Cause.
const (
	CauseUnknown Cause = iota
	KeyConflict        // the idempotency key belongs to a request with another body
	MayHaveRun         // an earlier attempt may have run, and its result is unknown here
)

// Answer is the final answer to a request.
type Answer struct {
	Status           Status
	Cause            Cause
	Result           []byte
	RetryAfter       time.Duration // 0: none
	NoRetryElsewhere bool          // a retry at another server would not help
	Advertised       float64       // the load value advertised to callers; negative: none
}

// HealthCheckDepth selects what a health check covers.
type HealthCheckDepth int

// Values of HealthCheckDepth.
const (
	ShallowCheck HealthCheckDepth = iota // the instance's own verdict, at once
	DeepCheck                            // also a self-test of the runtime
)

// HealthStatus is the verdict of a health check or a self-test.
type HealthStatus int

// Values of HealthStatus.
const (
	Unhealthy HealthStatus = iota
	Healthy
)

// HealthOf returns Healthy where the condition holds, else Unhealthy.
func HealthOf(condition bool) HealthStatus {
	if condition {
		return Healthy
	}
	return Unhealthy
}

// HealthCheckResult is the answer to a health check.
type HealthCheckResult struct {
	Status     HealthStatus
	Advertised float64 // the load value advertised to callers; negative: none
}

// RuntimeState is what a runtime says of itself when a link to it is established.
type RuntimeState struct {
	Reused      bool          // it has executed requests before this link, for this or an earlier incarnation of the instance
	Age         time.Duration // since its start
	RequestedAt time.Time     // when the state was asked for
}

// RunResult is the end of a run.
type RunResult struct {
	Outcome  policy.Outcome
	Duration time.Duration // 0: unknown
	Body     []byte
}

// CallResult is the end of a call to the dependency.
type CallResult struct {
	Outcome  policy.Outcome
	Duration time.Duration
	Reply    []byte
}

// Load is how much of an instance's capacity is in use; a front may leave work at its source by it.
type Load struct {
	Ready    bool // the controller exists and the runtime's link is up
	Requests int  // in flight
	Capacity int  // bound of Requests
}
