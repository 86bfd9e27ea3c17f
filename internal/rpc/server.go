// Package rpc serves the client stubs' protocol, JSON-RPC 2.0 with one message per line: it decodes lines into requests and
// health checks, passes them to an Admission, and encodes its answers.
//
// A Server owns the stubs' connections, at most Config.MaxConns + Config.SpareConns, and the IDs of their pending requests,
// at most maxPendingRequests each. A client's input affects only its own connection. Everything runs on the event loop;
// nothing is safe for use from other goroutines.
package rpc

import (
	"time"

	"go.uber.org/zap"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/internal/node"
)

const (
	maxLineLength  = 8 << 10                // bytes of a message
	sweepInterval  = 100 * time.Millisecond // between two sweeps of idle connections
	minIdleTimeout = 10 * time.Millisecond  // lower settings are raised to it
	maxIdleTimeout = time.Minute            // higher settings are lowered to it
)

// Admission admits or rejects requests. It answers through the node.Responder, with the id that it was given.
type Admission interface {
	// HasClass reports whether a request class is configured.
	HasClass(class string) bool
	// Admit admits or rejects a request. After an error, such as node.ErrUnknownClass, no answer follows.
	Admit(responder node.Responder, id node.MessageID, request node.Request) error
	// CallerGone reports that the responder can deliver no more answers.
	CallerGone(responder node.Responder)
	// CheckHealth answers a health check; a deep one tests the runtime as well.
	CheckHealth(responder node.Responder, id node.MessageID, depth node.HealthCheckDepth)
}

// Config configures a Server.
type Config struct {
	Admission  Admission
	MaxConns   int // limit of connections that were not sent a closing notification
	SpareConns int // limit of further connections, which were sent one
	Log        *zap.Logger
}

// Server owns the connections of client stubs.
type Server struct {
	config            Config
	conns             map[*conn]struct{} // those that are not closing or have pending requests
	notifiedConns     int                // number of conns that were sent a closing notification
	idleTimeout       time.Duration
	draining          bool
	nextSweep         time.Time
	overLimitSinceLog int // connections accepted or rejected over MaxConns since the last log line
}

// NewServer returns a server without connections, with the longest idle timeout.
func NewServer(config Config) *Server {
	return &Server{
		config:      config,
		conns:       map[*conn]struct{}{},
		idleTimeout: maxIdleTimeout,
	}
}

// Accept returns the handler of a new connection, or nil if there is no capacity. At MaxConns connections the least needed one
// is sent a closing notification; its requests in transit are still served. If all have pending requests, the new connection
// is notified once it is open, and its requests are served too. When all spare connections are in use as well, the least
// needed connection is closed at once; if all have pending requests, the new one is rejected.
func (s *Server) Accept() loop.ServerHandler {
	now := time.Now()
	if s.atCapacity() {
		s.overLimitSinceLog++
		if c := s.evictionCandidate(now, (*conn).isUnnotified); c != nil {
			c.notifyClosing(now)
		}
	}
	if len(s.conns) >= s.config.MaxConns+s.config.SpareConns {
		c := s.evictionCandidate(now, func(*conn) bool { return true })
		if c == nil {
			return nil
		}
		c.close()
	}
	return &conn{
		server:  s,
		lines:   jsonline.LineSplitter{MaxLength: maxLineLength},
		pending: map[string]struct{}{},
	}
}

// evictionCandidate returns the least needed of the eligible connections without pending requests, or nil. Connections on which a
// message is being received are needed most; they are no candidates if they have sent a request before. Of the others, those that
// never sent a request are needed least, then those that were idle for longest.
func (s *Server) evictionCandidate(now time.Time, isEligible func(*conn) bool) (leastNeeded *conn) {
	for c := range s.conns {
		isNeeded := c.HasPending() || c.hasRequested && c.isReceiving(now)
		if isNeeded || c.closing || !isEligible(c) {
			continue
		}
		if leastNeeded == nil || c.isLessNeededThan(leastNeeded, now) {
			leastNeeded = c
		}
	}
	return leastNeeded
}

func (c *conn) isLessNeededThan(other *conn, now time.Time) bool {
	if isReceiving := c.isReceiving(now); isReceiving != other.isReceiving(now) {
		return !isReceiving
	}
	if c.hasRequested != other.hasRequested {
		return !c.hasRequested
	}
	return c.lastActive.Before(other.lastActive)
}

// atCapacity reports whether MaxConns connections were not sent a closing notification.
func (s *Server) atCapacity() bool { return len(s.conns)-s.notifiedConns >= s.config.MaxConns }

// SetIdleTimeout sets how long a connection may be without pending requests before it is closed.
func (s *Server) SetIdleTimeout(timeout time.Duration) {
	s.idleTimeout = min(max(timeout, minIdleTimeout), maxIdleTimeout)
}

// Drain sends a closing notification to all connections, also to those opened from now on.
func (s *Server) Drain() {
	s.draining = true
	for c := range s.conns {
		c.notifyClosing(time.Now())
	}
}

// HasPending reports whether a message is being received. Responses are sent by the tick in which they are written.
func (s *Server) HasPending() bool {
	now := time.Now()
	for c := range s.conns {
		if c.isReceiving(now) {
			return true
		}
	}
	return false
}

// Sweep sends idle and stalled connections a closing notification, and closes them closingGracePeriod later, when no request
// can be in transit any more. While draining it closes only stalled and faulty ones, as clients close the others themselves.
func (s *Server) Sweep(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(sweepInterval)
	for c := range s.conns {
		s.sweepConn(c, now)
	}
	if s.overLimitSinceLog > 0 {
		s.config.Log.Warn("connection limit reached",
			zap.Int("connections_over_limit", s.overLimitSinceLog),
			zap.Int("limit", s.config.MaxConns))
		s.overLimitSinceLog = 0
	}
}

func (s *Server) sweepConn(c *conn, now time.Time) {
	if c.closing {
		return
	}
	isStalled := c.isStalled(now)
	if c.isUnnotified() {
		if isStalled || c.isIdle(now, s.idleTimeout) {
			c.notifyClosing(now)
		}
		return
	}
	if now.Sub(c.notifiedAt) <= closingGracePeriod {
		return
	}
	mayCloseIdle := !s.draining
	if isStalled || c.isFaulty || mayCloseIdle && c.isIdle(now, closingGracePeriod) {
		c.close()
	}
}
