package node

import "time"

// Responder takes the answers to the messages of one connection.
type Responder interface {
	Answer(id MessageID, answer Answer)
	HealthChecked(id MessageID, result HealthCheckResult)
}

// Runtime executes requests. Commands are lost while it is not Up; the instance repeats those that matter once it is.
type Runtime interface {
	Up() bool
	Start(id TaskID, class string, body []byte)
	Stop(id TaskID)
	DeliverReply(id TaskID, reply []byte)
	RequestGauges()
	SelfTest(id string)
}

// Dependency takes the calls that running requests make.
type Dependency interface {
	Call(id TaskID, timeout time.Duration, body []byte)
	Abandon(id TaskID)
	Sweep(now time.Time) time.Time // ends calls past their timeout and returns the next timeout; zero: none
}

// Front is a callers' protocol. Several may share one instance.
type Front interface {
	SetIdleTimeout(timeout time.Duration)
	Drain()
	Sweep(now time.Time)
	HasPending() bool // some answers are not delivered yet; a draining instance waits for them, up to its stop deadline
}

// HealthReporter reports the instance's health to the service catalog.
type HealthReporter interface {
	Sweep(now time.Time, status HealthStatus)
}
