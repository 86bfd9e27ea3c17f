// Package index is the client of the index, the dependency that requests call.
//
// Each connection of a Pool carries one call at a time, so that a lost connection or an invalid reply affects one call only. A
// connection on which a call was abandoned is closed, and no connection carries two calls of the same request, so that a late
// or repeated reply can't be taken for that to another call. The pool never retries a call, and reports one as not executed
// only if nothing of it was written or the index said so.
//
// A Pool holds at most one call per request, until its reply, timeout, abandonment or the end of its connection, and at most
// the number of connections given to NewPool; idle ones are closed after idleTimeout. A Pool belongs to the event loop; its
// methods must be called on the loop's goroutine and do not block.
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
	idleTimeout        = time.Second // the index drops idle connections, so calls on one that was idle for long are likely to fail
	maxCallsPerConn    = 64          // a connection is closed after this many, as it records the IDs of their requests
	maxAnomalyLogLines = 20          // log lines about lost calls and unexpected replies
)

// Sink receives the results of calls on the event loop.
type Sink interface {
	// CallReturned is called once for each call that was not abandoned.
	CallReturned(id node.TaskID, result node.CallResult)
}

// call is a call in flight or queued.
type call struct {
	id        node.TaskID
	startedAt time.Time
	deadline  time.Time
	body      []byte      // nil once it is written
	conn      *connection // carries the call, or is dialled for it; nil: queued
	sent      bool        // written to the connection
}

// reportResult reports the result of the call to the sink.
func (c *call) reportResult(sink Sink, now time.Time, outcome policy.Outcome, reply []byte) {
	sink.CallReturned(c.id, node.CallResult{Outcome: outcome, Duration: now.Sub(c.startedAt), Reply: reply})
}

// Pool manages the connections to the index and the calls on them.
type Pool struct {
	sink      Sink
	dial      func(loop.Handler)
	log       *zap.Logger
	maxConns  int
	conns     map[*connection]struct{}
	idle      []*connection // connections without a call, in the order of their last use
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

// Call issues a call for a request, which must not have another call in flight. It takes an idle connection, or dials one, or
// waits in the queue while all maxConns connections are in use.
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

// takeIdle removes and returns the most recently used idle connection that may carry a call of the request; nil: none.
func (p *Pool) takeIdle(id node.TaskID, now time.Time) *connection {
	for i, c := range slices.Backward(p.idle) {
		if now.Sub(c.lastUsed) < idleTimeout && !c.hasCarried(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// dialQueued dials a connection for each queued call, up to maxConns connections.
func (p *Pool) dialQueued() {
	for len(p.queue) > 0 && len(p.conns) < p.maxConns {
		next := p.queue[0]
		p.queue = p.queue[1:]
		c := newConnection(p, next)
		next.conn = c
		p.conns[c] = struct{}{}
		p.dial(c)
	}
}

// release sends the oldest queued call that the connection may carry, or else makes the connection idle. After
// maxCallsPerConn calls it closes the connection.
func (p *Pool) release(c *connection) {
	c.call = nil
	if len(c.carriedRequests) >= maxCallsPerConn {
		p.drop(c)
		return
	}
	for i, queued := range p.queue {
		if !c.hasCarried(queued.id) {
			p.queue = slices.Delete(p.queue, i, i+1)
			c.send(queued)
			return
		}
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection and dials another one if a call is queued.
func (p *Pool) drop(c *connection) {
	if !p.owns(c) {
		return
	}
	delete(p.conns, c)
	p.idle = slices.DeleteFunc(p.idle, func(idle *connection) bool { return idle == c })
	if c.transport != nil {
		c.transport.Close()
	}
	p.dialQueued()
}

// owns reports whether the connection belongs to the pool. drop and AddressChanged remove connections from it.
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
	c := abandoned.conn
	if c == nil {
		return
	}
	c.call = nil
	if abandoned.sent {
		p.drop(c)
	}
}

// Sweep ends calls past their deadline, closes connections idle for over idleTimeout, and returns the next deadline; zero: none.
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
		pending.reportResult(p.sink, now, outcome, nil)
	}
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastUsed) > idleTimeout {
		p.drop(p.idle[0])
	}
	return next
}

// AddressChanged replaces all connections after a change of the index's address. Calls that were sent may still return on the
// former connections.
func (p *Pool) AddressChanged() {
	former := p.conns
	p.conns = map[*connection]struct{}{}
	p.idle = nil
	for c := range former {
		switch {
		case c.transport == nil && c.call != nil: // being dialled at the former address
			p.queue = append(p.queue, c.call)
			c.call = nil
		case c.transport != nil && c.call == nil:
			c.transport.Close()
		}
	}
	p.dialQueued()
}

// reportAnomaly logs an unexpected event, at most maxAnomalyLogLines times.
func (p *Pool) reportAnomaly(message string, fields ...zap.Field) {
	p.anomalies++
	if p.anomalies <= maxAnomalyLogLines {
		p.log.Warn(message, fields...)
	}
}
