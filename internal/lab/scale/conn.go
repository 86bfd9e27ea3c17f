package scale

import (
	"net"
	"sync/atomic"
)

// ConnCounter counts the payload of connections, without the headers of TCP and IP (40 bytes and more per segment). It is
// safe for concurrent use; the zero value is ready.
type ConnCounter struct {
	sentBytes, receivedBytes, writes atomic.Int64
}

// ConnCounts is the state of a ConnCounter at one moment.
type ConnCounts struct {
	SentBytes, ReceivedBytes int64
	Writes                   int64 // calls of Write: about one per message
}

// Counts returns what was counted so far.
func (c *ConnCounter) Counts() ConnCounts {
	return ConnCounts{SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(), Writes: c.writes.Load()}
}

// CountedConn is a connection whose payload is counted.
type CountedConn struct {
	net.Conn
	Counter *ConnCounter
	OnWrite func(written []byte) // called after each Write with the bytes that were written; nil for none
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
