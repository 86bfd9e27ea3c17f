package raftlog

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// meter counts the payload of all TCP connections of a process, without headers (40 bytes and more per segment).
type meter struct {
	sent, received, writes atomic.Int64
}

// Usage is the state of a meter and of its process at one moment.
type Usage struct {
	Sent            int64   `json:"Sent"` // bytes
	Received        int64   `json:"Received"`
	Writes          int64   `json:"Writes"` // calls of Write: about one per message
	ProcessorMillis float64 `json:"ProcessorMillis"`
	Resident        float64 `json:"Resident"` // bytes
}

// since returns the usage after an earlier moment; the memory is the present one.
func (u Usage) since(before Usage) Usage {
	u.Sent -= before.Sent
	u.Received -= before.Received
	u.Writes -= before.Writes
	u.ProcessorMillis -= before.ProcessorMillis
	return u
}

// countedConn counts what passes a connection.
type countedConn struct {
	net.Conn
	meter *meter
}

// Read implements io.Reader.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	c.meter.writes.Add(1)
	return n, err
}

// maxQueuedWrites bounds the queue of a delayedConn.
const maxQueuedWrites = 1024

// delayedConn delivers what is written after a fixed delay, in order. A writer blocks while maxQueuedWrites are queued.
type delayedConn struct {
	net.Conn
	delay time.Duration
	queue chan delayedWrite
	once  sync.Once
	done  chan struct{}
}

type delayedWrite struct {
	due  time.Time
	data []byte
}

// newDelayedConn returns the connection itself if there is no delay.
func newDelayedConn(conn net.Conn, delay time.Duration) net.Conn {
	if delay == 0 {
		return conn
	}
	c := &delayedConn{Conn: conn, delay: delay, queue: make(chan delayedWrite, maxQueuedWrites), done: make(chan struct{})}
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
			if _, err := c.Conn.Write(next.data); err != nil {
				c.Close()
				return
			}
		}
	}
}

// Write implements io.Writer.
func (c *delayedConn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	case c.queue <- delayedWrite{time.Now().Add(c.delay), append([]byte(nil), b...)}:
		return len(b), nil
	}
}

// Close implements io.Closer.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
