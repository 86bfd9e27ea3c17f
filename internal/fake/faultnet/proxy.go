package faultnet

import (
	"io"
	"net"
)

const (
	maxPipes         = 4096  // TCP connections forwarded at once; a further one is closed
	maxDatagramBytes = 65536 // of UDP
)

// pipe is a TCP connection that is forwarded.
type pipe struct {
	from, to       string // members
	client, server net.Conn
}

func (p *pipe) close() {
	p.client.Close()
	p.server.Close()
}

// forward copies in both directions until one ends, and closes both connections.
func (p *pipe) forward() {
	done := make(chan struct{}, 2)
	go copyStream(p.server, p.client, done)
	go copyStream(p.client, p.server, done)
	<-done
	p.close()
}

// copyStream copies until one of the connections ends, and signals done then.
func copyStream(to, from net.Conn, done chan<- struct{}) {
	_, _ = io.Copy(to, from)
	done <- struct{}{}
}

// member is the name of the member that an address belongs to; empty for none.
func (n *Network) member(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.memberByIP[host]
}

// admit reports whether a message from one member to another passes now.
func (n *Network) admit(p pair, kind transport) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rules.admit(p, kind)
}

// forwardDatagrams forwards what arrives at a UDP socket, until it is closed.
func (n *Network) forwardDatagrams(to string, c net.PacketConn, target *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := c.ReadFrom(buffer)
		if err != nil {
			return
		}
		if n.admit(pair{n.member(from), to}, datagram) {
			_, _ = c.WriteTo(buffer[:size], target)
		}
	}
}

// acceptStreams forwards the connections of a TCP listener, until it is closed.
func (n *Network) acceptStreams(to string, l net.Listener, member string) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		from := n.member(client.RemoteAddr())
		if !n.admit(pair{from, to}, stream) {
			client.Close()
			continue
		}
		go n.forwardStream(pair{from, to}, client, member)
	}
}

// forwardStream forwards one connection to the member's address, until it ends.
func (n *Network) forwardStream(between pair, client net.Conn, member string) {
	server, err := net.Dial("tcp", member)
	if err != nil {
		client.Close()
		return
	}
	p := &pipe{between.from, between.to, client, server}
	if !n.addPipe(p) {
		p.close()
		return
	}
	p.forward()
	n.mu.Lock()
	delete(n.pipes, p)
	n.mu.Unlock()
}

// addPipe returns false when there are maxPipes.
func (n *Network) addPipe(p *pipe) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.pipes) >= maxPipes {
		return false
	}
	n.pipes[p] = struct{}{}
	return true
}
