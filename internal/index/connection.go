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

// connection is the handler of one connection. It takes no further calls once the pool does not own it.
type connection struct {
	pool     *Pool
	conn     loop.Conn                // nil before it is open, and once it is closed
	call     *call                    // nil: none
	carried  map[node.TaskID]struct{} // requests whose calls were sent on it; at most maxCallsPerConn
	unread   []byte                   // the start of a reply; at most one reply long
	lastUsed time.Time
}

func newConnection(p *Pool, first *call) *connection {
	return &connection{pool: p, call: first, carried: map[node.TaskID]struct{}{}}
}

// hasCarried reports whether a call of the request was sent on this connection.
func (c *connection) hasCarried(id node.TaskID) bool {
	_, ok := c.carried[id]
	return ok
}

// send writes the call.
func (c *connection) send(next *call) {
	c.call = next
	c.lastUsed = time.Now()
	c.carried[next.id] = struct{}{}
	next.on = c
	next.sent = true
	c.conn.Write(appendCall(nil, next))
	next.body = nil
}

// Opened sends the call that the connection was dialled for, or a queued one if that has ended.
func (c *connection) Opened(conn loop.Conn) {
	c.conn = conn
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

// Closed ends the call on the connection. If it was sent, the index may have executed it.
func (c *connection) Closed(err error) {
	if c.call != nil {
		c.loseCall(err)
	}
	c.conn = nil
	c.pool.drop(c)
}

func (c *connection) loseCall(err error) {
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
	lost.end(c.pool.sink, time.Now(), outcome, nil)
}

// Received reads replies. An error, for bytes that are not a reply, closes the connection.
func (c *connection) Received(data []byte) error {
	text := data
	if len(c.unread) > 0 {
		text = append(c.unread, data...)
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
	c.unread = append([]byte(nil), text...)
	return nil
}

// handle ends the call that the reply belongs to. A reply of another call, or with an unknown status, is ignored.
func (c *connection) handle(r reply) {
	p := c.pool
	answered := c.call
	outcome, known := outcomes[r.status]
	if !known || answered == nil || !answered.sent || answered.id != r.id {
		p.reportAnomaly("unexpected index reply", zap.String("task", string(r.id)), zap.String("status", r.status))
		return
	}
	delete(p.calls, answered.id)
	answered.end(p.sink, time.Now(), outcome, bytes.Clone(r.body))
	if p.owns(c) {
		p.release(c)
		return
	}
	c.call = nil // AddressChanged has replaced this connection
	c.conn.Close()
}
