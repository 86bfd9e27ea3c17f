// Package rpc is the client stubs' protocol, JSON-RPC 2.0 with one message a line: it turns lines into requests
// and health checks for admission, and answers back into lines. A Front owns the stubs' connections, their open ids
// (mostOpen each, emptied by the answer) and their age. It must never decide on a request, answer a request
// twice, or let anything that a peer sends reach further than that peer's connection.
package rpc

import (
	"time"

	"go.uber.org/zap"

	"thymechute/internal/jsonline"
	"thymechute/internal/loop"
	"thymechute/internal/node"
)

const (
	maxLineLength      = 8 << 10
	maxIDLength        = 40
	maxStringLength    = 128
	maxBodySize        = 2 << 10
	maxPendingRequests = 32
	maxMemoryKB        = 2000
	maxTrackedFields   = 64                      // in one message; more are not told apart
	maxRequestAge      = 30 * time.Second        // a request can't have come longer ago, nor so far ahead:
	maxClockSkew       = 5 * time.Second         // such a time would be taken for a wait of that length
	maxProtocolErrors  = 8                       // that a connection may bring
	requestTimeout     = 1500 * time.Millisecond // a connection may stay without a whole request, or with part of one
	sweepInterval      = 100 * time.Millisecond
	maxIdleTimeout     = time.Minute            // a connection with nothing open is ended after this in any case
	closingGracePeriod = 250 * time.Millisecond // between the notice and the end, for a request that crosses the notice
	methodHealthCheck  = "check"
)

// Admission is where requests go.
type Admission interface {
	HasClass(class string) bool // such a class is known
	Admit(asker node.Responder, tag string, ask node.Request) error
	CallerGone(asker node.Responder)
	CheckHealth(asker node.Responder, tag string, full bool)
}

// Server owns the stubs' connections.
type Server struct {
	admission     Admission
	log           *zap.Logger
	maxConns      int // connections, and so many more that have their notice:
	spareConns    int
	conns         map[*conn]struct{} // not ended, or with a request open
	notifiedConns int                // of them, those that have their notice
	idleTimeout   time.Duration
	draining      bool
	nextSweep     time.Time
	overLimit     int // connections over the limit since the last line of the log
}

// NewServer keeps so many connections, and so many spare ones that have their notice.
func NewServer(admission Admission, most, spare int, log *zap.Logger) *Server {
	return &Server{admission: admission, maxConns: most, spareConns: spare, log: log, conns: map[*conn]struct{}{}, idleTimeout: maxIdleTimeout}
}

// Accept makes the peer of a new connection. At the limit the one goes that is needed least: it has its notice, and a
// request that crosses that is still served. Where all are in use the new one gets the notice, and what it brings is
// judged like all else. With the spare places taken too one ends at once, the new one if need be.
func (f *Server) Accept() loop.ServerHandler {
	if f.atCapacity() {
		f.overLimit++
		if c := f.evictionCandidate(func(c *conn) bool { return c.notifiedAt.IsZero() }); c != nil {
			c.notifyClosing(time.Now())
		}
	}
	if len(f.conns) >= f.maxConns+f.spareConns {
		c := f.evictionCandidate(func(*conn) bool { return true })
		if c == nil {
			return nil
		}
		c.close()
	}
	return &conn{server: f, lines: jsonline.LineSplitter{MaxLength: maxLineLength}, pending: map[string]struct{}{}}
}

// evictionCandidate is the one of these that is needed least and owes nothing: the longest without a whole request, else the longest
// idle.
func (f *Server) evictionCandidate(of func(*conn) bool) (least *conn) {
	for c := range f.conns {
		if !c.HasPending() && !c.closing && of(c) &&
			(least == nil || c.hasRequested == least.hasRequested && c.lastActive.Before(least.lastActive) || !c.hasRequested && least.hasRequested) {
			least = c
		}
	}
	return least
}

// atCapacity tells whether the places of those without a notice are taken.
func (f *Server) atCapacity() bool { return len(f.conns)-f.notifiedConns >= f.maxConns }

// SetIdleTimeout closes connections with nothing open after so long.
func (f *Server) SetIdleTimeout(after time.Duration) {
	f.idleTimeout = min(max(after, 10*time.Millisecond), maxIdleTimeout)
}

// Drain tells all stubs to send no more here.
func (f *Server) Drain() {
	f.draining = true
	for c := range f.conns {
		c.notifyClosing(time.Now())
	}
}

// HasPending: what is written leaves with the round.
func (f *Server) HasPending() bool { return false }

// Sweep gives what has been idle, or at half a message, for too long its notice, and ends it once nothing can cross that
// any more. A draining instance ends only what brings nothing whole: the others end it themselves.
func (f *Server) Sweep(now time.Time) {
	if now.Before(f.nextSweep) {
		return
	}
	f.nextSweep = now.Add(sweepInterval)
	for c := range f.conns {
		stalled := c.isStalled(now)
		switch {
		case c.closing:
		case c.notifiedAt.IsZero():
			if stalled || !c.HasPending() && now.Sub(c.lastActive) > f.idleTimeout {
				c.notifyClosing(now)
			}
		case now.Sub(c.notifiedAt) <= closingGracePeriod:
		case stalled, !f.draining && !c.HasPending() && now.Sub(c.lastActive) > closingGracePeriod:
			c.close()
		}
	}
	if f.overLimit > 0 {
		f.log.Warn("connections refused: at the limit", zap.Int("refused", f.overLimit), zap.Int("limit", f.maxConns))
		f.overLimit = 0
	}
}
