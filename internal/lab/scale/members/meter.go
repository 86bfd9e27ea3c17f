package members

import (
	"net"
	"sync/atomic"

	"thymechute/internal/lab/scale"
)

// meter counts the traffic of all hollow members of a process.
type meter struct {
	datagramsSent, datagramBytesSent         atomic.Int64
	datagramsReceived, datagramBytesReceived atomic.Int64
	streams                                  atomic.Int64 // dialled
	streamBytes                              scale.ConnCounter

	tracing atomic.Bool // whether sent bytes are also counted by kind; off while CPU time is measured, because the decoding takes some
	kinds   [kindCount]atomic.Int64
}

// meterReading is a snapshot of a meter.
type meterReading struct {
	Datagrams, DatagramBytes, Streams, StreamBytes int64 // sent and received; a stream counts once, where it is dialled
	Kinds                                          [kindCount]int64
}

// countStream returns a connection that counts the bytes of one end of a stream.
func (m *meter) countStream(conn net.Conn) net.Conn {
	return &scale.CountedConn{Conn: conn, Counter: &m.streamBytes, OnWrite: m.traceStream}
}

// traceStream counts a message by kind while tracing is on.
func (m *meter) traceStream(written []byte) {
	if m.tracing.Load() {
		m.countStreamKind(written)
	}
}

func (m *meter) read() meterReading {
	streams := m.streamBytes.Counts()
	r := meterReading{
		Datagrams:     m.datagramsSent.Load() + m.datagramsReceived.Load(),
		DatagramBytes: m.datagramBytesSent.Load() + m.datagramBytesReceived.Load(),
		Streams:       m.streams.Load(),
		StreamBytes:   streams.SentBytes + streams.ReceivedBytes,
	}
	for kind := range m.kinds {
		r.Kinds[kind] = m.kinds[kind].Load()
	}
	return r
}

// since returns the difference from an earlier reading.
func (r meterReading) since(before meterReading) meterReading {
	r.Datagrams -= before.Datagrams
	r.DatagramBytes -= before.DatagramBytes
	r.Streams -= before.Streams
	r.StreamBytes -= before.StreamBytes
	for kind := range r.Kinds {
		r.Kinds[kind] -= before.Kinds[kind]
	}
	return r
}

func (r meterReading) bytes() int64 { return r.DatagramBytes + r.StreamBytes }
