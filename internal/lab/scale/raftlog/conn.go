package raftlog

import (
	"net"
	"sync"
	"time"
)

// maxQueuedWrites is the capacity of the queue of a delayedConn.
const maxQueuedWrites = 1024

// delayedConn delivers written data in order, after a fixed delay. Write blocks while maxQueuedWrites writes are queued.
type delayedConn struct {
	net.Conn
	delay time.Duration
	queue chan delayedWrite
	once  sync.Once
	done  chan struct{}
}

// delayedWrite is the data of one Write and its delivery time.
type delayedWrite struct {
	due  time.Time
	data []byte
}

// newDelayedConn returns the connection with a delay on its writes, or the connection itself if the delay is 0.
func newDelayedConn(conn net.Conn, delay time.Duration) net.Conn {
	if delay == 0 {
		return conn
	}
	c := &delayedConn{Conn: conn, delay: delay, queue: make(chan delayedWrite, maxQueuedWrites), done: make(chan struct{})}
	go c.deliver()
	return c
}

// deliver writes queued data to the connection until it is closed or a write fails.
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

// Write implements io.Writer. An error of the delayed write is not returned; it closes the connection.
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
