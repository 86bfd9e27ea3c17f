// Package index is the client of the index, the dependency that requests call.
//
// A Pool keeps connections that carry one call at a time, so that a connection that breaks or brings an invalid reply costs
// no other call. A connection on which a call was abandoned is closed, and no connection carries two calls of the same
// request, so that a late or repeated reply finds no call that it could be taken for. The pool never retries a call, and
// reports one as not executed only if nothing of it was written or the index said so.
//
// Tables: calls (one per request; an entry ends with the reply, the timeout, Abandon or the connection's end) and
// connections (a given number; idle ones are closed after idleTimeout). A Pool belongs to the event loop; its methods must
// be called on the loop's goroutine and do not block.
package index

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/node"
	"thymechute/policy"
)

const (
	idleTimeout     = time.Second // the index forgets idle connections: the longer idle, the likelier its use fails
	maxCallsPerConn = 64          // each connection keeps the ids of its calls
	maxAnomalyLines = 20          // log lines about lost calls and unexpected replies
)

// Sink receives the ends of calls.
type Sink interface {
	CallReturned(id node.TaskID, result node.CallResult)
}

// call is a call in flight or queued.
type call struct {
	id        node.TaskID
	startedAt time.Time
	deadline  time.Time
	body      []byte      // nil once it is written
	on        *connection // nil: queued
	sent      bool
}

// end tells the sink how the call has ended.
func (c *call) end(sink Sink, now time.Time, outcome policy.Outcome, reply []byte) {
	sink.CallReturned(c.id, node.CallResult{Outcome: outcome, Duration: now.Sub(c.startedAt), Reply: reply})
}

// Pool is the connections to the index and the calls on them.
type Pool struct {
	sink      Sink
	dial      func(loop.Handler)
	log       *zap.Logger
	maxConns  int
	conns     map[*connection]struct{}
	idle      []*connection // connections without a call, the latest used last
	calls     map[node.TaskID]*call
	queue     []*call // calls without a connection, the oldest first
	anomalies int
}

// NewPool returns a pool of at most maxConns connections; dial opens one for a handler.
func NewPool(sink Sink, dial func(loop.Handler), maxConns int, log *zap.Logger) *Pool {
	return &Pool{
		sink:     sink,
		dial:     dial,
		log:      log,
		maxConns: maxConns,
		conns:    map[*connection]struct{}{},
		calls:    map[node.TaskID]*call{},
	}
}

// Call issues a call for a request, which has no other call in flight.
func (p *Pool) Call(id node.TaskID, timeout time.Duration, body []byte) {
	now := time.Now()
	issued := &call{id: id, startedAt: now, deadline: now.Add(timeout), body: body}
	p.calls[id] = issued
	if idle := p.takeIdle(id, now); idle != nil {
		idle.send(issued)
		return
	}
	if len(p.conns) >= p.maxConns && len(p.idle) > 0 {
		p.drop(p.idle[0])
	}
	p.queue = append(p.queue, issued)
	p.dialQueued()
}

// takeIdle returns the latest used idle connection that may carry a call of the request; nil: none.
func (p *Pool) takeIdle(id node.TaskID, now time.Time) *connection {
	for index, c := range slices.Backward(p.idle) {
		if now.Sub(c.lastUsed) < idleTimeout && !c.hasCarried(id) {
			p.idle = slices.Delete(p.idle, index, index+1)
			return c
		}
	}
	return nil
}

// dialQueued dials a connection for each queued call, up to the bound.
func (p *Pool) dialQueued() {
	for len(p.queue) > 0 && len(p.conns) < p.maxConns {
		next := p.queue[0]
		p.queue = p.queue[1:]
		c := newConnection(p, next)
		next.on = c
		p.conns[c] = struct{}{}
		p.dial(c)
	}
}

// release gives a connection without a call the oldest queued call that it may carry, or makes it idle.
func (p *Pool) release(c *connection) {
	c.call = nil
	if len(c.carried) >= maxCallsPerConn {
		p.drop(c)
		return
	}
	for index, queued := range p.queue {
		if !c.hasCarried(queued.id) {
			p.queue = slices.Delete(p.queue, index, index+1)
			c.send(queued)
			return
		}
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection and gives its place to a queued call.
func (p *Pool) drop(c *connection) {
	if !p.owns(c) {
		return
	}
	delete(p.conns, c)
	p.idle = slices.DeleteFunc(p.idle, func(idle *connection) bool { return idle == c })
	if c.conn != nil {
		c.conn.Close()
	}
	p.dialQueued()
}

// owns reports whether the connection still takes calls.
func (p *Pool) owns(c *connection) bool {
	_, ok := p.conns[c]
	return ok
}

// Abandon ends a call without a result; closing its connection cancels it at the index.
func (p *Pool) Abandon(id node.TaskID) {
	abandoned := p.calls[id]
	if abandoned == nil {
		return
	}
	delete(p.calls, id)
	p.queue = slices.DeleteFunc(p.queue, func(queued *call) bool { return queued == abandoned })
	c := abandoned.on
	if c == nil {
		return
	}
	c.call = nil
	if abandoned.sent {
		p.drop(c)
	}
}

// Sweep ends the calls past their deadline, closes idle connections, and returns the next deadline; zero: none.
func (p *Pool) Sweep(now time.Time) (next time.Time) {
	for id, pending := range p.calls {
		if now.Before(pending.deadline) {
			if next.IsZero() || pending.deadline.Before(next) {
				next = pending.deadline
			}
			continue
		}
		outcome := policy.ConnectFailed // nothing of it was written
		if pending.sent {
			outcome = policy.TimedOut
		}
		p.Abandon(id)
		pending.end(p.sink, now, outcome, nil)
	}
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastUsed) > idleTimeout {
		p.drop(p.idle[0])
	}
	return next
}

// Move replaces all connections, as the index's address has changed. Calls in flight may still return on theirs.
func (p *Pool) Move() {
	moved := p.conns
	p.conns = map[*connection]struct{}{}
	p.idle = nil
	for c := range moved {
		switch {
		case c.conn == nil && c.call != nil: // being dialled at the old address
			p.queue = append(p.queue, c.call)
			c.call = nil
		case c.conn != nil && c.call == nil:
			c.conn.Close()
		}
	}
	p.dialQueued()
}

// reportAnomaly logs what is unexpected, up to a bound.
func (p *Pool) reportAnomaly(message string, fields ...zap.Field) {
	p.anomalies++
	if p.anomalies <= maxAnomalyLines {
		p.log.Warn(message, fields...)
	}
}
