package broker

import (
	"fmt"
	"net"
	"sync"

	"thymechute/internal/fake/loopback"
)

// server holds the listener of a broker and tracks the goroutines of the listener and of the connections.
type server struct {
	listener   net.Listener
	goroutines sync.WaitGroup
}

// Start listens on a loopback address and returns the bound address. It returns a *loopback.AddressError or the listener's error.
func (b *Broker) Start(address string) (string, error) {
	if _, err := loopback.Parse(address); err != nil {
		return "", fmt.Errorf("broker: %w", err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	b.server = &server{listener: l}
	b.server.goroutines.Add(1)
	go b.acceptLoop(l)
	return l.Addr().String(), nil
}

func (b *Broker) acceptLoop(l net.Listener) {
	defer b.server.goroutines.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.startConn(c)
	}
}

// Close closes the listener and all connections, and waits for their goroutines. Pending WaitForQueue and WaitForEvents calls
// return.
func (b *Broker) Close() {
	b.mu.Lock()
	b.closed = true
	b.closeAllConns()
	b.changed.Broadcast()
	b.mu.Unlock()
	b.server.listener.Close()
	b.server.goroutines.Wait()
}

// startConn starts serving an accepted connection. It closes the connection when the broker is closed or has maxConns.
func (b *Broker) startConn(n net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.conns) >= maxConns {
		n.Close()
		return
	}
	b.connsAccepted++
	c := &conn{broker: b, net: n, number: b.connsAccepted, channels: map[uint16]*channel{}, frameMax: b.FrameMax}
	c.wake = sync.NewCond(&b.mu)
	b.conns[c] = struct{}{}
	b.server.goroutines.Add(2)
	go c.writeLoop()
	go c.readLoop()
}
