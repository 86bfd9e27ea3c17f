package node

import "time"

// Responder delivers answers to the messages of one connection. All calls are made on the event loop.
type Responder interface {
	// Answer delivers the final answer to a request.
	Answer(id MessageID, answer Answer)
	// AnswerHealthCheck delivers the answer to a health check.
	AnswerHealthCheck(id MessageID, result HealthCheckResult)
}

// Runtime executes requests. Its methods do not block; results come back as calls of Instance methods such as RunEnded.
// Commands are lost while the runtime is not Up; the instance repeats starts, stops and replies once it is.
type Runtime interface {
	// Up reports whether the link to the runtime is established.
	Up() bool
	// Start starts the run of a request.
	Start(id TaskID, class string, body []byte)
	// Stop stops a run. A run that has ended, or is unknown, is not affected.
	Stop(id TaskID)
	// DeliverReply continues a run with the reply to its call.
	DeliverReply(id TaskID, reply []byte)
	// RequestGauges requests a reading of the gauges. Instance.GaugesRead follows.
	RequestGauges()
	// SelfTest requests a self-test under this id. Instance.SelfTestEnded follows with the same id.
	SelfTest(id string)
}

// Dependency is the service that running requests call. Its methods do not block.
type Dependency interface {
	// Call issues a call for the request with this id. Instance.CallReturned follows, unless the call is abandoned.
	Call(id TaskID, timeout time.Duration, body []byte)
	// Abandon ends a call without a result. It has no effect on one that has returned.
	Abandon(id TaskID)
	// Sweep ends the calls past their timeout. It returns the next timeout, or the zero time if no call is in flight.
	Sweep(now time.Time) time.Time
}

// Front is a protocol through which callers send requests. Several may share one instance.
type Front interface {
	// SetIdleTimeout sets the time after which idle connections close.
	SetIdleTimeout(timeout time.Duration)
	// Drain starts the graceful shutdown of the callers' connections.
	Drain()
	// Sweep does the periodic work of the front. It is called at every tick.
	Sweep(now time.Time)
	// HasPending reports whether answers are not delivered yet. A draining instance waits for them up to its stop deadline.
	HasPending() bool
}

// HealthReporter reports the instance's health to the service catalog.
type HealthReporter interface {
	// ReportIfDue reports the health if a report is due. It is called at every tick.
	ReportIfDue(now time.Time, status HealthStatus)
}
