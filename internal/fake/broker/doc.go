// Package broker is a fake message broker for experiments and tests. It speaks AMQP 0-9-1, implemented from the specification
// (with RabbitMQ's extensions for nack, publisher confirms, connection.blocked and consumer cancel notification), listens on
// loopback only, and injects faults according to a script. Queues and exchanges are kept in memory and survive Restart. The
// broker is deterministic: the same script and the same actions of the peers cause the same faults.
//
// The codec (frame.go, signatures.go, decode.go, encode.go, props.go) is strict: a frame whose length does not match its size
// field, an unknown method and a misplaced field are errors, and every length is checked against its limit before memory is
// allocated for it.
//
// The constants in broker.go bound all tables: queues and exchanges (never removed), messages in all queues together (removed
// when settled or purged), connections, and channels of a connection. A peer that reads too slowly is disconnected when
// maxOutputBytes are waiting for it. One mutex guards all tables. Each connection has a reader and a writer goroutine; Close
// stops them.
package broker
