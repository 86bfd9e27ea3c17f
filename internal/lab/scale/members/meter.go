// This file owns the counting of bytes at a hollow member's sockets. It must never change what passes.

package members

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"thymechute/internal/fleet/membership"
)

// meter counts what all hollow members of a process send and receive. Headers of IP, UDP and TCP are left out: 28 bytes a
// datagram, 40 and more a TCP segment, and the handshakes.
type meter struct {
	datagramsSent, datagramBytesSent         atomic.Int64
	datagramsReceived, datagramBytesReceived atomic.Int64
	streams, streamBytesSent                 atomic.Int64
	streamBytesReceived                      atomic.Int64

	tracing atomic.Bool // bytes are told apart by kind; costs processor time, so not while that is measured
	kinds   [kindCount]atomic.Int64
}

// reading is the state of a meter at one moment.
type reading struct {
	Datagrams, DatagramBytes, Streams, StreamBytes int64 // sent and received together; a stream once, where it was dialed
	Kinds                                          [kindCount]int64
}

func (m *meter) read() reading {
	r := reading{
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

func (r reading) since(before reading) reading {
	r.Datagrams -= before.Datagrams
	r.DatagramBytes -= before.DatagramBytes
	r.Streams -= before.Streams
	r.StreamBytes -= before.StreamBytes
	for kind := range r.Kinds {
		r.Kinds[kind] -= before.Kinds[kind]
	}
	return r
}

func (r reading) bytes() int64 { return r.DatagramBytes + r.StreamBytes }

// transport is a member's own, with its bytes counted and what crosses a cut held back.
type transport struct {
	membership.Transport
	meter   *meter
	network *network
	region  int
	packets chan *memberlist.Packet
	conns   chan net.Conn
	stop    chan struct{}
}

func newTransport(inner membership.Transport, meter *meter, network *network, region int) *transport {
	t := &transport{Transport: inner, meter: meter, network: network, region: region, packets: make(chan *memberlist.Packet),
		conns: make(chan net.Conn), stop: make(chan struct{})}
	go t.forwardPackets()
	go t.forwardStreams()
	return t
}

func (t *transport) forwardPackets() {
	for {
		select {
		case <-t.stop:
			return
		case packet := <-t.Transport.PacketCh():
			t.meter.datagramsReceived.Add(1)
			t.meter.datagramBytesReceived.Add(int64(len(packet.Buf)))
			select {
			case t.packets <- packet:
			case <-t.stop:
				return
			}
		}
	}
}

func (t *transport) forwardStreams() {
	for {
		select {
		case <-t.stop:
			return
		case conn := <-t.Transport.StreamCh():
			select {
			case t.conns <- &countedConn{Conn: conn, meter: t.meter}:
			case <-t.stop:
				conn.Close()
				return
			}
		}
	}
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.conns }

func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: address})
}

func (t *transport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	t.meter.datagramsSent.Add(1)
	t.meter.datagramBytesSent.Add(int64(len(b)))
	if t.meter.tracing.Load() {
		t.meter.addPacket(b)
	}
	if t.network.cuts(t.region, address.Addr) {
		return time.Now(), nil // lost on its way
	}
	return t.Transport.WriteToAddress(b, address)
}

func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.network.cuts(t.region, address.Addr) {
		return nil, errCut
	}
	conn, err := t.Transport.DialAddressTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	t.meter.streams.Add(1)
	return &countedConn{Conn: conn, meter: t.meter}, nil
}

// Shutdown lets memberlist's listeners end first: they may wait for a packet to be taken.
func (t *transport) Shutdown() error {
	err := t.Transport.Shutdown()
	close(t.stop)
	return err
}

// countedConn is one end of a stream.
type countedConn struct {
	net.Conn
	meter *meter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.streamBytesReceived.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.streamBytesSent.Add(int64(n))
	if c.meter.tracing.Load() {
		c.meter.addStream(b[:n])
	}
	return n, err
}
