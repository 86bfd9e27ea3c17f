// This file owns one connection of a stub: its open requests, what it brings, its end.

package rpc

import (
	"errors"
	"fmt"
	"time"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/internal/node"
)

// conn is one connection of a stub. It has brought nothing whole yet, or is idle, or in use: three different things
// where room or time is short. It ends in two steps: noticed (told closing, still read, so that a request which
// crosses the notice is served), then ended (nothing more is read; what is open gets its answers, and loop closes the
// connection behind the last of them). A fault that can't be answered ends it without the first step.
type conn struct {
	server         *Server
	transport      loop.Conn
	lines          jsonline.LineSplitter
	pending        map[string]struct{}
	lastActive     time.Time // opened, a request read or answered
	partialSince   time.Time // of a message that is not whole; zero: none
	notifiedAt     time.Time // when it was told closing; zero: not yet
	hasRequested   bool      // a whole request has come
	closing        bool
	protocolErrors int
}

func (c *conn) Opened(w loop.Conn) {
	c.transport, c.lastActive = w, time.Now()
	full := c.server.atCapacity()
	c.server.conns[c] = struct{}{}
	if c.server.draining || full {
		c.notifyClosing(c.lastActive)
	}
}

// HasPending tells whether a request that was read has no answer yet.
func (c *conn) HasPending() bool { return len(c.pending) > 0 }

// Closed: the other side ended the connection, or it left too much unread.
func (c *conn) Closed(error) {
	c.unregister()
	if c.HasPending() {
		c.server.admission.CallerGone(c)
	}
}

// notifyClosing tells the stub to send no more here; a well-behaved one closes the connection once all is answered.
func (c *conn) notifyClosing(now time.Time) {
	if c.notifiedAt.IsZero() && !c.closing {
		c.notifiedAt = now
		c.server.notifiedConns++
		c.transport.Write(closingNotification)
	}
}

// isStalled: it has been without a whole request, or with part of one, for too long.
func (c *conn) isStalled(now time.Time) bool {
	return !c.partialSince.IsZero() && now.Sub(c.partialSince) > requestTimeout || !c.hasRequested && now.Sub(c.lastActive) > requestTimeout
}

// close lets nothing more in. What is open stays owed.
func (c *conn) close() {
	c.closing = true
	c.transport.Close()
	c.releaseIfDone()
}

// releaseIfDone gives the place of an ended connection back once nothing is open on it.
func (c *conn) releaseIfDone() {
	if c.closing && !c.HasPending() {
		c.unregister()
	}
}

func (c *conn) unregister() {
	if _, ok := c.server.conns[c]; !ok {
		return
	}
	delete(c.server.conns, c)
	if !c.notifiedAt.IsZero() {
		c.server.notifiedConns--
	}
}

// Received takes what came. A fault is answered under its id; without one, or with too many, the connection ends.
func (c *conn) Received(p []byte) error {
	whole := false
	err := c.lines.Feed(p, func(text []byte) error {
		whole = true
		q, err := Decode(text)
		if err == nil {
			err = c.handle(q)
		}
		if err == nil {
			return nil
		}
		var f *ProtocolError
		if !errors.As(err, &f) {
			return err
		}
		c.transport.Write(AppendError(nil, q.ID, f))
		if c.protocolErrors++; q.ID == "" || c.protocolErrors > maxProtocolErrors {
			return err
		}
		return nil
	})
	if err != nil {
		c.close()
		return err
	}
	if !c.lines.HasPartial() {
		c.partialSince = time.Time{}
	} else if whole || c.partialSince.IsZero() {
		c.partialSince = time.Now()
	}
	return nil
}

func (c *conn) handle(q Message) error {
	if q.IsNotification { // nothing is answered to one, and none has a meaning here; but a class or a check wants an answer
		if q.Request.Class == methodHealthCheck || c.server.admission.HasClass(q.Request.Class) {
			return &ProtocolError{codeInvalidRequest, errors.New("expected an id")}
		}
		return nil
	}
	if _, twice := c.pending[q.ID]; twice { // whichever of the two an error under this id would be taken for
		return errors.New("two requests under one id")
	}
	if len(c.pending) >= maxPendingRequests {
		return &ProtocolError{codeInvalidRequest, fmt.Errorf("over %d open requests", maxPendingRequests)}
	}
	c.hasRequested, c.lastActive = true, time.Now()
	c.pending[q.ID] = struct{}{}
	if q.IsHealthCheck {
		c.server.admission.CheckHealth(c, q.ID, q.IsDeepCheck)
		return nil
	}
	err := c.server.admission.Admit(c, q.ID, q.Request)
	if err == nil {
		return nil
	}
	delete(c.pending, q.ID)
	switch {
	case errors.Is(err, node.ErrUnknownClass):
		return &ProtocolError{codeMethodNotFound, err}
	case errors.Is(err, node.ErrUnknownTenant):
		return &ProtocolError{codeInvalidParams, err}
	}
	return &ProtocolError{codeInvalidRequest, err}
}

// Answer writes a final answer.
func (c *conn) Answer(tag string, a node.Answer) {
	c.complete(tag)
	c.transport.Write(AppendResponse(nil, tag, a))
}

// HealthChecked answers a health check.
func (c *conn) HealthChecked(tag string, good bool, free float64) {
	c.complete(tag)
	c.transport.Write(AppendHealthStatus(nil, tag, good, free))
}

func (c *conn) complete(tag string) {
	delete(c.pending, tag)
	c.lastActive = time.Now()
	c.releaseIfDone()
}
