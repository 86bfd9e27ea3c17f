// Package intake controls how an instance consumes messages from a set of message brokers: how much credit (unsettled
// messages per queue) to request, when to pause and resume consuming, which broker to connect to next and after which
// backoff, and when to close a connection whose broker does not respond. It makes no decision about received messages:
// admission is up to the policy.
//
// The Controller is a state machine: it has one method per event and acts through a Host. It does no I/O, reads no
// clock (events carry the time since the start) and starts no goroutine. It must be used from one goroutine at a time.
// Its memory is bounded: its only slice has one entry per configured broker.
//
// The design is described in docs/amqp.md.
package intake
