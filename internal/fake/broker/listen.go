// This file owns the listening socket and the start of connections.

package broker

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

type door struct {
	listen net.Listener
	done   sync.WaitGroup
}

// Start listens at a loopback address and returns it as it came to be.
func (b *Broker) Start(address string) (string, error) {
	if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
		return "", fmt.Errorf("broker: found %q, expected a loopback address and a port", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	b.door = &door{listen: l}
	b.door.done.Add(1)
	go func() {
		defer b.door.done.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.take(c)
		}
	}()
	return l.Addr().String(), nil
}

// Close ends everything; what waits in Wait goes on.
func (b *Broker) Close() {
	b.mu.Lock()
	b.closed = true
	b.restart()
	b.changed.Broadcast()
	b.mu.Unlock()
	b.door.listen.Close()
	b.door.done.Wait()
}

func (b *Broker) take(n net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.conns) >= mostConns {
		n.Close()
		return
	}
	b.accepted++
	c := &conn{b: b, net: n, number: b.accepted, channels: map[uint16]*channel{}, frameMax: b.FrameMax}
	c.more = sync.NewCond(&b.mu)
	b.conns[c] = struct{}{}
	b.door.done.Add(2)
	go c.writes()
	go c.reads()
}
