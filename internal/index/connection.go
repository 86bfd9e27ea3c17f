package index

import (
	"bytes"
	"errors"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/policy"
)

// connection handles one connection to the index. It is given no further calls once the pool no longer owns it.
type connection struct {
	pool            *Pool
	transport       loop.Conn                // nil before it is open, and once it is closed
	call            *call                    // sent, or waiting for the connection to open; nil: none
	carriedRequests map[node.TaskID]struct{} // IDs of the requests whose calls were sent on it; at most maxCallsPerConn
	partialReply    []byte                   // the start of an incomplete reply; shorter than one reply
	lastUsed        time.Time
}

func newConnection(p *Pool, first *call) *connection {
	return &connection{pool: p, call: first, carriedRequests: map[node.TaskID]struct{}{}}
}

// hasCarried reports whether a call of the request was sent on this connection.
func (c *connection) hasCarried(id node.TaskID) bool {
	_, ok := c.carriedRequests[id]
	return ok
}

// send writes a call to the open connection.
func (c *connection) send(next *call) {
	c.call = next
	c.lastUsed = time.Now()
	c.carriedRequests[next.id] = struct{}{}
	next.conn = c
	next.sent = true
	c.transport.Write(appendCall(nil, next))
	next.body = nil
}

// Opened sends the call that the connection was dialled for, or a queued one if that call has ended.
func (c *connection) Opened(conn loop.Conn) {
	c.transport = conn
	c.lastUsed = time.Now()
	switch {
	case !c.pool.owns(c):
		conn.Close()
	case c.call != nil:
		c.send(c.call)
	default:
		c.pool.release(c)
	}
}

// Closed ends the connection's call. If it was sent, the index may have executed it.
func (c *connection) Closed(err error) {
	if c.call != nil {
		c.failCall(err)
	}
	c.transport = nil
	c.pool.drop(c)
}

func (c *connection) failCall(err error) {
	lost := c.call
	c.pool.reportAnomaly("index connection lost during a call",
		zap.Error(err),
		zap.String("task", string(lost.id)),
		zap.Bool("sent", lost.sent))
	outcome := policy.ConnectFailed
	if lost.sent {
		outcome = policy.Reset
	}
	c.call = nil
	delete(c.pool.calls, lost.id)
	lost.reportResult(c.pool.sink, time.Now(), outcome, nil)
}

// Received reads replies. It returns an error, which closes the connection, for input that is not a reply.
func (c *connection) Received(data []byte) error {
	text := data
	if len(c.partialReply) > 0 {
		text = append(c.partialReply, data...)
	}
	for len(text) > 0 {
		r, length, err := decodeReply(text)
		if errors.Is(err, errIncomplete) {
			break
		}
		if err != nil {
			return err
		}
		c.handle(r)
		text = text[length:]
	}
	c.partialReply = append([]byte(nil), text...)
	return nil
}

// handle ends the call that the reply belongs to. A reply to another call, or with an unknown status, is ignored.
func (c *connection) handle(r reply) {
	p := c.pool
	answered := c.call
	outcome, known := outcomes[r.status]
	if !known || answered == nil || !answered.sent || answered.id != r.id {
		p.reportAnomaly("unexpected index reply", zap.String("task", string(r.id)), zap.String("status", r.status))
		return
	}
	delete(p.calls, answered.id)
	answered.reportResult(p.sink, time.Now(), outcome, bytes.Clone(r.body))
	if p.owns(c) {
		p.release(c)
		return
	}
	c.call = nil // AddressChanged has replaced this connection
	c.transport.Close()
}
