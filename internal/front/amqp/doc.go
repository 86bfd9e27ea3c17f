// Package amqp consumes work from a message broker over AMQP 0-9-1. It turns messages into requests for the instance, and
// the answers into acknowledgements, replies, requeued copies and dead letters.
//
// A Front lives on the instance's event loop and holds every received message until it is settled. A session is one
// connection to a broker, with goroutines that may wait for it; they hand events to the loop in batches and take commands
// from queues that never fill. A guard between the socket and the client library bounds what a broker can make the library
// hold. When to connect, consume and pause is decided by internal/decide/intake; whether a message is processed, queued or
// rejected is decided by the instance.
//
// A message is settled only on the connection that delivered it, and acknowledged only after the broker has confirmed what
// had to be published for it. The tables of unsettled and unconfirmed messages are bounded by the credit in force and the
// one before it, and emptied by settling or by the end of the connection.
//
// The design is described in docs/amqp.md.
package amqp
