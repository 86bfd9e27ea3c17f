package node

import (
	"time"

	"thymechute/policy"
)

// MessageID is the id of a message on its connection; the answer carries the same id.
type MessageID string

// TaskID is the id of a request at the runtime and the dependency. It is unique among the requests in flight.
type TaskID string

// Request is a decoded request.
type Request struct {
	ID                  TaskID
	Class               string // name of a class of the settings
	Tenant              string // empty if it has none
	Key                 string // idempotency key; empty if it has none
	Subject             string
	ReceivedAt          time.Time     // when it reached this machine
	LastPartAt          time.Time     // if it came in parts: a time before the last of them arrived; else zero
	CallerTimeout       time.Duration // how long the caller waits from ReceivedAt; 0 if unknown
	Caller              int           // number of the caller
	IsRetry             bool
	MayHaveRunElsewhere bool    // an earlier attempt may have run at an instance that shares no keys with this one
	MemoryKB            float64 // memory that it takes while it is queued
	Priority            float64 // rank among all requests by value, 0 to below 1
	Body                []byte
}

// Status is the final result of a request.
type Status int

// Values of Status.
const (
	Served   Status = iota // the run completed; the answer has its result
	Rejected               // the request has not run
	Failed                 // the request may have run
)

// Cause is the reason why the instance failed a request. It is CauseUnknown for all other failures.
type Cause int

// Values of Cause.
const (
	CauseUnknown     Cause = iota
	CauseKeyConflict       // the idempotency key belongs to a request with another body
	CauseMayHaveRun        // an earlier attempt may have run, and its result is unknown here
)

// Answer is the final answer to a request.
type Answer struct {
	Status           Status
	Cause            Cause
	Result           []byte        // of a served request
	RetryAfter       time.Duration // 0 if there is none
	NoRetryElsewhere bool          // a retry at another server would not help
	AdvertisedLoad   float64       // load value advertised to callers; negative if there is none
}

// HealthCheckDepth selects what a health check covers.
type HealthCheckDepth int

// Values of HealthCheckDepth.
const (
	ShallowCheck HealthCheckDepth = iota // the controller's verdict, without asking the runtime
	DeepCheck                            // in addition a self-test of the runtime
)

// HealthStatus is the verdict of a health check or a self-test.
type HealthStatus int

// Values of HealthStatus.
const (
	Unhealthy HealthStatus = iota
	Healthy
)

// HealthOf returns Healthy if the condition holds, and Unhealthy otherwise.
func HealthOf(condition bool) HealthStatus {
	if condition {
		return Healthy
	}
	return Unhealthy
}

// HealthCheckResult is the answer to a health check.
type HealthCheckResult struct {
	Status         HealthStatus
	AdvertisedLoad float64 // load value advertised to callers; negative if there is none
}

// RuntimeState is the state that a runtime reports when a link to it is established.
type RuntimeState struct {
	Reused      bool          // it has executed requests before this link, for this or an earlier incarnation of the instance
	Age         time.Duration // time since its start
	RequestedAt time.Time     // when the state was requested
}

// StartedAfter reports whether the state is of a process that started later than the known one, so that the runtime has restarted
// and runs of the earlier process are lost.
func (s RuntimeState) StartedAfter(known time.Time) bool {
	earliestStart := s.RequestedAt.Add(-s.Age)
	return earliestStart.After(known.Add(runtimeAgeTolerance))
}

// RunResult is the end of a run.
type RunResult struct {
	Outcome  policy.Outcome
	Duration time.Duration // 0 if unknown
	Body     []byte
}

// CallResult is the end of a call to the dependency.
type CallResult struct {
	Outcome  policy.Outcome
	Duration time.Duration
	Reply    []byte
}

// Load is the used part of an instance's capacity. A front that fetches requests itself limits the number that it fetches by it.
type Load struct {
	Ready    bool // the controller exists and the link to the runtime is up
	Requests int  // number of requests in flight
	Capacity int  // upper bound of Requests
}
