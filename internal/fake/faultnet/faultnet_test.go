package faultnet

import (
	"net"
	"testing"
	"time"
)

// listen binds TCP and UDP on one loopback address, as a member does.
func listen(t *testing.T, ip string) (net.Listener, net.PacketConn) {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	u, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		u.Close()
	})
	return l, u
}

// startProxy starts a proxy on a free port of ip and returns its address.
func startProxy(t *testing.T, n *Network, name, ip string, member net.Listener) string {
	t.Helper()
	probe, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	front := probe.Addr().String()
	probe.Close()
	if err := n.StartProxy(name, member.Addr().String(), front); err != nil {
		t.Fatal(err)
	}
	return front
}

// received reports whether a datagram arrives within 300 ms.
func received(u net.PacketConn) bool {
	_ = u.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	buf := make([]byte, 16)
	_, _, err := u.ReadFrom(buf)
	return err == nil
}

// pairOfMembers is a network with two members, a and b, and a proxy for each.
type pairOfMembers struct {
	network            *Network
	streamsA           net.Listener
	datagramsA         net.PacketConn
	datagramsB         net.PacketConn
	proxyOfA, proxyOfB string
}

// startPair starts the sockets of both members and their proxies.
func startPair(t *testing.T) *pairOfMembers {
	t.Helper()
	p := &pairOfMembers{network: New(1)}
	t.Cleanup(p.network.Close)
	var streamsB net.Listener
	p.streamsA, p.datagramsA = listen(t, "127.0.3.1")
	streamsB, p.datagramsB = listen(t, "127.0.3.2")
	p.proxyOfA = startProxy(t, p.network, "a", "127.0.4.1", p.streamsA)
	p.proxyOfB = startProxy(t, p.network, "b", "127.0.4.2", streamsB)
	return p
}

func sendDatagram(t *testing.T, from net.PacketConn, to string) {
	t.Helper()
	address, _ := net.ResolveUDPAddr("udp", to)
	if _, err := from.WriteTo([]byte("ping"), address); err != nil {
		t.Fatal(err)
	}
}

// dialAFromB opens a TCP connection from b to a's proxy.
func (p *pairOfMembers) dialAFromB(t *testing.T) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.3.2")}, Timeout: time.Second}
	c, err := dialer.Dial("tcp", p.proxyOfA)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A cut drops datagrams in its direction only. Forwarded and dropped datagrams are counted.
func TestCutIsOneWayForDatagrams(t *testing.T) {
	p := startPair(t)
	sendDatagram(t, p.datagramsA, p.proxyOfB)
	if !received(p.datagramsB) {
		t.Fatal("a to b: no datagram arrived before the cut")
	}
	p.network.Cut("a", "b")
	sendDatagram(t, p.datagramsA, p.proxyOfB)
	if received(p.datagramsB) {
		t.Fatal("a to b: a datagram passed the cut")
	}
	sendDatagram(t, p.datagramsB, p.proxyOfA)
	if !received(p.datagramsA) {
		t.Fatal("b to a: no datagram arrived, but only a to b is cut")
	}
	if forwarded, dropped := p.network.Counts("a", "b"); forwarded != 1 || dropped != 1 {
		t.Fatalf("a to b: %d forwarded, %d dropped; want 1 and 1", forwarded, dropped)
	}
}

// A cut in either direction closes TCP connections and rejects new ones, as a connection carries data in both directions.
func TestCutClosesStreamsOfBothDirections(t *testing.T) {
	p := startPair(t)
	p.network.Cut("a", "b")
	rejected := p.dialAFromB(t)
	_ = rejected.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := rejected.Read(make([]byte, 1)); err == nil {
		t.Fatal("a new connection was not closed although a to b is cut")
	}

	p.network.Heal()
	c := p.dialAFromB(t)
	accepted, err := p.streamsA.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1)
	_ = accepted.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := accepted.Read(buffer); err != nil || buffer[0] != 'x' {
		t.Fatalf("the connection carried no data after Heal: %v", err)
	}
	p.network.Cut("b", "a")
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(buffer); err == nil {
		t.Fatal("an open connection was not closed by the cut")
	}
}

func TestProxyAcceptsOnlyLoopback(t *testing.T) {
	n := New(1)
	defer n.Close()
	if err := n.StartProxy("a", "10.0.0.1:7000", "127.0.0.1:0"); err == nil {
		t.Fatal("member address 10.0.0.1: no error, expected ErrNotLoopback")
	}
}
