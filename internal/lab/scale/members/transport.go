package members

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"thymechute/internal/fleet/membership"
)

// meteredTransport wraps a member's transport. It counts the traffic and drops what crosses the partition.
type meteredTransport struct {
	membership.Transport
	meter   *meter
	network *network
	region  int
	packets chan *memberlist.Packet
	conns   chan net.Conn
	stop    chan struct{}
}

func newTransport(inner membership.Transport, meter *meter, network *network, region int) *meteredTransport {
	t := &meteredTransport{Transport: inner, meter: meter, network: network, region: region, packets: make(chan *memberlist.Packet),
		conns: make(chan net.Conn), stop: make(chan struct{})}
	go t.forwardPackets()
	go t.forwardStreams()
	return t
}

func (t *meteredTransport) forwardPackets() {
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

func (t *meteredTransport) forwardStreams() {
	for {
		select {
		case <-t.stop:
			return
		case conn := <-t.Transport.StreamCh():
			select {
			case t.conns <- t.meter.countStream(conn):
			case <-t.stop:
				conn.Close()
				return
			}
		}
	}
}

// PacketCh implements memberlist.Transport.
func (t *meteredTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *meteredTransport) StreamCh() <-chan net.Conn { return t.conns }

// WriteTo implements memberlist.Transport.
func (t *meteredTransport) WriteTo(b []byte, address string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: address})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *meteredTransport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	t.meter.datagramsSent.Add(1)
	t.meter.datagramBytesSent.Add(int64(len(b)))
	if t.meter.tracing.Load() {
		t.meter.countPacketKinds(b)
	}
	if t.network.drops(t.region, address.Addr) {
		return time.Now(), nil // dropped without an error, as by a real network
	}
	return t.Transport.WriteToAddress(b, address)
}

// DialTimeout implements memberlist.Transport.
func (t *meteredTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *meteredTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.network.drops(t.region, address.Addr) {
		return nil, errPartitioned
	}
	conn, err := t.Transport.DialAddressTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	t.meter.streams.Add(1)
	return t.meter.countStream(conn), nil
}

// Shutdown implements memberlist.Transport. It first shuts down the inner transport, whose listeners may be blocked until a packet is
// received from their channel.
func (t *meteredTransport) Shutdown() error {
	err := t.Transport.Shutdown()
	close(t.stop)
	return err
}
