package scale

import (
	"net"
	"sync/atomic"
)

// ConnCounter counts the payload bytes of connections, without TCP and IP headers (40 bytes or more per segment). It is safe for
// concurrent use. The zero value is ready to use.
type ConnCounter struct {
	sentBytes, receivedBytes, writes atomic.Int64
}

// ConnCounts is a snapshot of a ConnCounter.
type ConnCounts struct {
	SentBytes, ReceivedBytes int64
	Writes                   int64 // calls of Write, about one per message
}

// Counts returns the totals so far.
func (c *ConnCounter) Counts() ConnCounts {
	return ConnCounts{SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(), Writes: c.writes.Load()}
}

// CountedConn is a connection that adds its payload bytes and writes to a counter.
type CountedConn struct {
	net.Conn
	Counter *ConnCounter
	OnWrite func(written []byte) // called after each Write with the bytes written; may be nil
}

// Read implements io.Reader.
func (c *CountedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Counter.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *CountedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.Counter.sentBytes.Add(int64(n))
	c.Counter.writes.Add(1)
	if c.OnWrite != nil {
		c.OnWrite(b[:n])
	}
	return n, err
}
