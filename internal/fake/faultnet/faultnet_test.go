package faultnet

import (
	"net"
	"testing"
	"time"
)

// listen binds TCP and UDP on one loopback address: a member as faultnet sees it.
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
	t.Cleanup(func() { l.Close(); u.Close() })
	return l, u
}

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

func TestCutIsOneWayForDatagramsAndBothWaysForStreams(t *testing.T) {
	n := New(1)
	defer n.Close()
	la, ua := listen(t, "127.0.3.1")
	lb, ub := listen(t, "127.0.3.2")
	fa := startProxy(t, n, "a", "127.0.4.1", la)
	fb := startProxy(t, n, "b", "127.0.4.2", lb)
	send := func(from net.PacketConn, to string) {
		addr, _ := net.ResolveUDPAddr("udp", to)
		if _, err := from.WriteTo([]byte("ping"), addr); err != nil {
			t.Fatal(err)
		}
	}
	send(ua, fb)
	if !received(ub) {
		t.Fatal("a to b: nothing came before any cut")
	}
	n.Cut("a", "b")
	send(ua, fb)
	if received(ub) {
		t.Fatal("a to b came through the cut")
	}
	send(ub, fa)
	if !received(ua) {
		t.Fatal("b to a: nothing came, but the cut is one way")
	}
	if forwarded, dropped := n.Counts("a", "b"); forwarded != 1 || dropped != 1 {
		t.Fatalf("a to b: %d forwarded, %d dropped; want 1 and 1", forwarded, dropped)
	}

	// a stream from b to a carries a's replies too, so the cut a to b refuses it
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.3.2")}, Timeout: time.Second}
	c, err := d.Dial("tcp", fa)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("a stream across a cut stayed open")
	}
	c.Close()

	n.Heal()
	c, err = d.Dial("tcp", fa)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	accepted, err := la.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1)
	_ = accepted.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := accepted.Read(buf); err != nil || buf[0] != 'x' {
		t.Fatalf("after heal the stream carried nothing: %v", err)
	}
	n.Cut("b", "a") // a cut ends the streams already open between the two
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(buf); err == nil {
		t.Fatal("an open stream outlived the cut")
	}
}

func TestProxyAcceptsOnlyLoopback(t *testing.T) {
	n := New(1)
	defer n.Close()
	if err := n.StartProxy("a", "10.0.0.1:7000", "127.0.0.1:0"); err == nil {
		t.Fatal("a member outside loopback: no error")
	}
}
