// Package amqp consumes work from a message broker over AMQP 0-9-1. It turns messages into requests for the instance, and
// the answers into acknowledgements, replies, requeued copies and dead letters.
//
// A Front runs on the instance's event loop and holds every received message until it is settled. A session is one
// connection to a broker. Its goroutines may block on the broker; they pass events to the loop in batches and execute commands
// from queues that never fill. A checkedConn between the socket and the client library bounds the memory that a broker can
// make the library use. Package internal/decide/intake decides when to connect, consume and pause; the instance decides
// whether a message is processed, queued or rejected.
//
// A message is settled only on the connection that delivered it. It is acknowledged only after the broker has confirmed what
// had to be published for it: a reply, a requeued copy or a dead letter. The tables of unsettled and unconfirmed messages are
// bounded by the current credit plus the previous one; entries are removed when messages are settled or the connection ends.
//
// The design is described in docs/amqp.md.
package amqp
