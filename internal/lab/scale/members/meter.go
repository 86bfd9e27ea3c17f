package members

import "sync/atomic"

// meter counts what all hollow members of a process send and receive.
type meter struct {
	datagramsSent, datagramBytesSent         atomic.Int64
	datagramsReceived, datagramBytesReceived atomic.Int64
	streams, streamBytesSent                 atomic.Int64
	streamBytesReceived                      atomic.Int64

	tracing atomic.Bool // bytes are also counted by kind; off while processor time is measured, as it costs some
	kinds   [kindCount]atomic.Int64
}

// meterReading is the state of a meter at one moment.
type meterReading struct {
	Datagrams, DatagramBytes, Streams, StreamBytes int64 // sent and received; a stream counts once, where it is dialled
	Kinds                                          [kindCount]int64
}

func (m *meter) read() meterReading {
	r := meterReading{
		Datagrams:     m.datagramsSent.Load() + m.datagramsReceived.Load(),
		DatagramBytes: m.datagramBytesSent.Load() + m.datagramBytesReceived.Load(),
		Streams:       m.streams.Load(),
		StreamBytes:   m.streamBytesSent.Load() + m.streamBytesReceived.Load(),
	}
	for kind := range m.kinds {
		r.Kinds[kind] = m.kinds[kind].Load()
	}
	return r
}

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
