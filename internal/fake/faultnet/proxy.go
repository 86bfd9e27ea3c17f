package faultnet

import (
	"io"
	"net"
)

const (
	maxProxiedConns  = 4096  // TCP connections; further ones are closed
	maxDatagramBytes = 65536 // no UDP datagram is larger
)

// proxiedConn is a TCP connection that is forwarded to a member.
type proxiedConn struct {
	from, to       string // names of the members
	client, server net.Conn
}

func (p *proxiedConn) close() {
	p.client.Close()
	p.server.Close()
}

// forward copies in both directions until one of them ends, then closes both connections.
func (p *proxiedConn) forward() {
	done := make(chan struct{}, 2)
	go copyStream(p.server, p.client, done)
	go copyStream(p.client, p.server, done)
	<-done
	p.close()
}

// copyStream copies until one of the connections ends, then signals done.
func copyStream(to, from net.Conn, done chan<- struct{}) {
	_, _ = io.Copy(to, from)
	done <- struct{}{}
}

// memberName returns the name of the member that has the IP of a, or "" if there is none.
func (n *Network) memberName(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.memberByIP[host]
}

// allow is rules.allow with the lock held.
func (n *Network) allow(p pair, kind transport) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rules.allow(p, kind)
}

// forwardDatagrams forwards datagrams from a proxy's UDP socket to the member, until the socket is closed.
func (n *Network) forwardDatagrams(to string, c net.PacketConn, target *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := c.ReadFrom(buffer)
		if err != nil {
			return
		}
		if n.allow(pair{n.memberName(from), to}, datagram) {
			_, _ = c.WriteTo(buffer[:size], target)
		}
	}
}

// acceptStreams forwards connections from a proxy's TCP listener to the member, until the listener is closed.
func (n *Network) acceptStreams(to string, l net.Listener, memberAddress string) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		from := n.memberName(client.RemoteAddr())
		if !n.allow(pair{from, to}, stream) {
			client.Close()
			continue
		}
		go n.forwardStream(pair{from, to}, client, memberAddress)
	}
}

// forwardStream forwards one connection to the member's address until it ends.
func (n *Network) forwardStream(between pair, client net.Conn, memberAddress string) {
	server, err := net.Dial("tcp", memberAddress)
	if err != nil {
		client.Close()
		return
	}
	p := &proxiedConn{between.from, between.to, client, server}
	if !n.addProxiedConn(p) {
		p.close()
		return
	}
	p.forward()
	n.mu.Lock()
	delete(n.proxiedConns, p)
	n.mu.Unlock()
}

// addProxiedConn adds p to the table. It returns false when there are maxProxiedConns.
func (n *Network) addProxiedConn(p *proxiedConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.proxiedConns) >= maxProxiedConns {
		return false
	}
	n.proxiedConns[p] = struct{}{}
	return true
}
