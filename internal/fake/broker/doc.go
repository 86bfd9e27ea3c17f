// Package broker is a fake message broker for experiments and tests. It speaks AMQP 0-9-1, implemented from the specification
// (with RabbitMQ's extensions for nack, publisher confirms, connection.blocked and consumer cancel notification), on loopback
// only, and injects faults by a script. Queues and exchanges live in the process's memory and outlast Restart. The broker is
// deterministic: the same script and the same actions of the peers cause the same faults.
//
// The codec (frame.go, signatures.go, decode.go, encode.go, props.go) is strict: a frame that is longer than it states, an
// unknown method and a misplaced field are errors, and nothing is allocated before its bound is checked.
//
// Tables, each bounded by the constants in broker.go: queues and exchanges (never removed), messages in all queues together
// (removed when settled or purged), connections, channels of a connection. A peer that reads too slowly is disconnected at
// maxOutputBytes. One mutex guards all tables; each connection has a reader and a writer goroutine, ended by Close.
package broker
