// This file owns the connections of the log's processes: the bytes counted on them, and the delay between regions. It must
// never reorder what is written.

package raftlog

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// meter counts what all connections of a process carry: payload of TCP, headers (40 bytes and more a segment) left out.
type meter struct {
	sent, received, writes atomic.Int64
}

// Reading is the state of a meter and of its process at one moment.
type Reading struct {
	Sent, Received, Writes int64 // bytes, and calls of Write: about one a message
	ProcessorMillis        float64
	Resident               float64
}

func (r Reading) since(before Reading) Reading {
	r.Sent -= before.Sent
	r.Received -= before.Received
	r.Writes -= before.Writes
	r.ProcessorMillis -= before.ProcessorMillis
	return r
}

type countedConn struct {
	net.Conn
	meter *meter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	c.meter.writes.Add(1)
	return n, err
}

// delayedConn delivers what is written a set time later, in order. Its queue holds mostQueued writes at the most, and a
// writer waits where it is full.
type delayedConn struct {
	net.Conn
	delay time.Duration
	queue chan delayed
	once  sync.Once
	done  chan struct{}
}

type delayed struct {
	due time.Time
	b   []byte
}

const mostQueued = 1024

func newDelayedConn(conn net.Conn, delay time.Duration) net.Conn {
	if delay == 0 {
		return conn
	}
	c := &delayedConn{Conn: conn, delay: delay, queue: make(chan delayed, mostQueued), done: make(chan struct{})}
	go c.deliver()
	return c
}

func (c *delayedConn) deliver() {
	for {
		select {
		case <-c.done:
			return
		case next := <-c.queue:
			time.Sleep(time.Until(next.due))
			if _, err := c.Conn.Write(next.b); err != nil {
				c.Close()
				return
			}
		}
	}
}

func (c *delayedConn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	case c.queue <- delayed{time.Now().Add(c.delay), append([]byte(nil), b...)}:
		return len(b), nil
	}
}

func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
