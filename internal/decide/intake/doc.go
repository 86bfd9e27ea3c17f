// Package intake controls how an instance consumes from a set of message brokers: how much credit (unsettled messages
// per queue) to ask for, when to pause and resume consuming, which broker to connect to next and after which backoff,
// and when a connection whose broker does not respond is given up. It decides nothing about a message that has been
// received; admission is the policy's alone.
//
// The Controller is a state machine: it has one method per event and acts through a Host. It does no I/O, reads no
// clock (every event carries the time since the start) and starts no goroutine. It must be used from one goroutine
// at a time. Its only table holds one entry per configured broker.
//
// The design is described in docs/amqp.md.
package intake
