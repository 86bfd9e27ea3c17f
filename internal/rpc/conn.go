package rpc

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/internal/node"
)

const (
	maxPendingRequests = 32                      // per connection
	maxProtocolErrors  = 8                       // per connection; one more closes it
	requestTimeout     = 1500 * time.Millisecond // until the first message begins, and for the rest of a partial one
	closingGracePeriod = 250 * time.Millisecond  // between a closing notification and the close, for requests in transit
)

// conn handles one connection of a client stub. It is closed in two steps. First the client is sent a closing notification;
// requests already in transit are still served. Then closing is set: no more input is received, and the loop closes the
// connection after the last pending response. An error returned by Received skips the first step.
type conn struct {
	server         *Server
	transport      loop.Conn
	lines          jsonline.LineSplitter
	pending        map[string]struct{} // IDs of requests without a response; at most maxPendingRequests
	lastActive     time.Time           // when it was opened, or a request was last received or answered
	partialSince   time.Time           // when an incomplete message began to arrive; zero: none
	partialReadAt  time.Time           // when the latest part of that message was read
	notifiedAt     time.Time           // when the closing notification was sent; zero: not sent
	hasRequested   bool                // a complete request was received
	closing        bool
	protocolErrors int
	isFaulty       bool // it sent more than maxProtocolErrors, so that it closes even if it does not become idle
}

// Opened implements loop.Handler.
func (c *conn) Opened(transport loop.Conn) {
	c.transport = transport
	c.lastActive = time.Now()
	atCapacity := c.server.atCapacity()
	c.server.conns[c] = struct{}{}
	if c.server.draining || atCapacity {
		c.notifyClosing(c.lastActive)
	}
}

// HasPending reports whether a request is still without a response.
func (c *conn) HasPending() bool { return len(c.pending) > 0 }

// Closed implements loop.Handler: the client closed the connection, or left too much output unread.
func (c *conn) Closed(error) {
	c.unregister()
	if c.HasPending() {
		c.server.config.Admission.CallerGone(c)
	}
}

// notifyClosing asks the client to send no more requests on this connection and to close it after the last response.
func (c *conn) notifyClosing(now time.Time) {
	if c.closing || !c.isUnnotified() {
		return
	}
	c.notifiedAt = now
	c.server.notifiedConns++
	c.transport.Write(closingNotification)
}

func (c *conn) isUnnotified() bool { return c.notifiedAt.IsZero() }

// isReceiving reports whether a part of a message has arrived and its rest may still come within requestTimeout.
func (c *conn) isReceiving(now time.Time) bool {
	return !c.closing && !c.partialSince.IsZero() && now.Sub(c.partialSince) <= requestTimeout
}

// isIdle reports whether nothing has been pending for longer than the timeout, and no message is being received.
func (c *conn) isIdle(now time.Time, timeout time.Duration) bool {
	return !c.HasPending() && !c.isReceiving(now) && now.Sub(c.lastActive) > timeout
}

// isStalled reports whether the first request, or the rest of a partial message, took longer than requestTimeout.
func (c *conn) isStalled(now time.Time) bool {
	if !c.partialSince.IsZero() {
		return !c.isReceiving(now)
	}
	return !c.hasRequested && now.Sub(c.lastActive) > requestTimeout
}

// close stops receiving input; pending requests are still answered.
func (c *conn) close() {
	c.closing = true
	c.transport.Close()
	c.releaseIfDone()
}

// releaseIfDone removes a closing connection from the server once nothing is pending.
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
	if !c.isUnnotified() {
		c.server.notifiedConns--
	}
}

// Received implements loop.Handler. A protocol error is answered with an error response to the message's ID. If the ID could
// not be decoded, the connection closes as well; after too many errors it is sent a closing notification before.
func (c *conn) Received(p []byte) error {
	hasMessage := false
	lastPartAt := c.partialReadAt // of the first message only
	err := c.lines.Feed(p, func(line []byte) error {
		partAt := lastPartAt
		hasMessage = true
		lastPartAt = time.Time{}
		return c.handleLine(line, partAt)
	})
	if err != nil {
		c.close()
		return err
	}
	c.updatePartial(hasMessage)
	return nil
}

// updatePartial records whether an incomplete message is left, which is a new one if a message was completed.
func (c *conn) updatePartial(hasMessage bool) {
	if !c.lines.HasPartial() {
		c.partialSince = time.Time{}
		c.partialReadAt = time.Time{}
		return
	}
	c.partialReadAt = time.Now()
	if hasMessage || c.partialSince.IsZero() {
		c.partialSince = c.partialReadAt
	}
}

// handleLine returns an error if the connection must close. lastPartAt is the LastPartAt of a request in the line.
func (c *conn) handleLine(line []byte, lastPartAt time.Time) error {
	message, err := Decode(line)
	message.Request.LastPartAt = lastPartAt
	if err == nil {
		err = c.handle(message)
	}
	if err == nil {
		return nil
	}
	var protocolErr *ProtocolError
	if !errors.As(err, &protocolErr) {
		return err
	}
	c.transport.Write(AppendError(nil, message.ID, protocolErr))
	if message.ID == "" {
		return err
	}
	if !namesUnknownResource(err) {
		c.countProtocolError()
	}
	return nil
}

// namesUnknownResource reports whether a request was rejected because its class or tenant is not configured. That is no fault of a
// client whose class or tenant was removed by a reload.
func namesUnknownResource(err error) bool {
	return errors.Is(err, node.ErrUnknownClass) || errors.Is(err, node.ErrUnknownTenant)
}

// countProtocolError counts an answered protocol error. One over maxProtocolErrors closes the connection, in two steps like every
// other close. What is received between them is answered with an error: a flood of invalid messages must not be served meanwhile.
func (c *conn) countProtocolError() {
	c.protocolErrors++
	if c.protocolErrors > maxProtocolErrors && !c.isFaulty {
		c.isFaulty = true
		c.server.config.Log.Warn("connection closing", zap.Error(errTooManyProtocolErrors))
		c.notifyClosing(time.Now())
	}
}

func (c *conn) handle(message Message) error {
	if message.IsNotification {
		return c.checkNotification(message.Method)
	}
	if c.isFaulty {
		return &ProtocolError{codeInvalidRequest, errTooManyProtocolErrors}
	}
	if _, inUse := c.pending[message.ID]; inUse {
		return errIDInUse
	}
	if len(c.pending) >= maxPendingRequests {
		return &ProtocolError{codeInvalidRequest, errTooManyPending}
	}
	c.hasRequested = true
	c.lastActive = time.Now()
	c.pending[message.ID] = struct{}{}
	id := node.MessageID(message.ID)
	if message.IsHealthCheck {
		c.server.config.Admission.CheckHealth(c, id, message.healthCheckDepth())
		return nil
	}
	err := c.server.config.Admission.Admit(c, id, message.Request)
	if err != nil {
		delete(c.pending, message.ID)
		return admissionProtocolError(err)
	}
	return nil
}

// checkNotification rejects a notification whose method needs a response. All others are ignored, as the protocol defines no
// notifications from clients.
func (c *conn) checkNotification(method string) error {
	if method == methodHealthCheck || c.server.config.Admission.HasClass(method) {
		return &ProtocolError{codeInvalidRequest, errIDExpected}
	}
	return nil
}

// admissionProtocolError returns the protocol error for an error of Admission.Admit, whose text is sent to the client.
func admissionProtocolError(err error) *ProtocolError {
	switch {
	case errors.Is(err, node.ErrUnknownClass):
		return &ProtocolError{codeMethodNotFound, err}
	case errors.Is(err, node.ErrUnknownTenant):
		return &ProtocolError{codeInvalidParams, err}
	}
	return &ProtocolError{codeInvalidRequest, err}
}

// Answer implements node.Responder.
func (c *conn) Answer(id node.MessageID, answer node.Answer) {
	c.removePending(id)
	c.transport.Write(AppendResponse(nil, string(id), answer))
}

// AnswerHealthCheck implements node.Responder.
func (c *conn) AnswerHealthCheck(id node.MessageID, result node.HealthCheckResult) {
	c.removePending(id)
	c.transport.Write(AppendHealthStatus(nil, string(id), result))
}

// removePending removes an answered request, and releases the connection if it is closing and this was its last pending one.
func (c *conn) removePending(id node.MessageID) {
	delete(c.pending, string(id))
	c.lastActive = time.Now()
	c.releaseIfDone()
}
