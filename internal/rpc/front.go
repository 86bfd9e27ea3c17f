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
	longestLine = 8 << 10
	longestID   = 40
	longestWord = 128
	mostBody    = 2 << 10
	mostOpen    = 32
	mostKB      = 2000
	mostNames   = 64                      // in one message; more are not told apart
	oldest      = 30 * time.Second        // a request can't have come longer ago, nor so far ahead:
	ahead       = 5 * time.Second         // such a time would be taken for a wait of that length
	mostFaults  = 8                       // that a connection may bring
	unasked     = 1500 * time.Millisecond // a connection may stay without a whole request, or with part of one
	sweepEvery  = 100 * time.Millisecond
	silent      = time.Minute            // a connection with nothing open is ended after this in any case
	crossing    = 250 * time.Millisecond // between the notice and the end, for a request that crosses the notice
	methodCheck = "check"
)

// Admission is where requests go.
type Admission interface {
	HasClass(class string) bool // such a class is known
	Admit(asker node.Responder, tag string, ask node.Request) error
	CallerGone(asker node.Responder)
	CheckHealth(asker node.Responder, tag string, full bool)
}

// Front owns the stubs' connections.
type Front struct {
	admission Admission
	log       *zap.Logger
	most      int // connections, and so many more that have their notice:
	spare     int
	conns     map[*conn]struct{} // not ended, or with a request open
	noticed   int                // of them, those that have their notice
	idle      time.Duration
	draining  bool
	next      time.Time
	refused   int // connections over the limit since the last line of the log
}

// NewFront keeps so many connections, and so many spare ones that have their notice.
func NewFront(admission Admission, most, spare int, log *zap.Logger) *Front {
	return &Front{admission: admission, most: most, spare: spare, log: log, conns: map[*conn]struct{}{}, idle: silent}
}

// Accept makes the peer of a new connection. At the limit the one goes that is needed least: it has its notice, and a
// request that crosses that is still served. Where all are in use the new one gets the notice, and what it brings is
// judged like all else. With the spare places taken too one ends at once, the new one if need be.
func (f *Front) Accept() loop.ServerHandler {
	if f.full() {
		f.refused++
		if c := f.least(func(c *conn) bool { return c.noticed.IsZero() }); c != nil {
			c.notice(time.Now())
		}
	}
	if len(f.conns) >= f.most+f.spare {
		c := f.least(func(*conn) bool { return true })
		if c == nil {
			return nil
		}
		c.end()
	}
	return &conn{front: f, in: jsonline.Lines{Longest: longestLine}, open: map[string]struct{}{}}
}

// least is the one of these that is needed least and owes nothing: the longest without a whole request, else the longest
// idle.
func (f *Front) least(of func(*conn) bool) (least *conn) {
	for c := range f.conns {
		if !c.HasPending() && !c.ended && of(c) &&
			(least == nil || c.asked == least.asked && c.last.Before(least.last) || !c.asked && least.asked) {
			least = c
		}
	}
	return least
}

// full tells whether the places of those without a notice are taken.
func (f *Front) full() bool { return len(f.conns)-f.noticed >= f.most }

// SetIdleTimeout closes connections with nothing open after so long.
func (f *Front) SetIdleTimeout(after time.Duration) {
	f.idle = min(max(after, 10*time.Millisecond), silent)
}

// Drain tells all stubs to send no more here.
func (f *Front) Drain() {
	f.draining = true
	for c := range f.conns {
		c.notice(time.Now())
	}
}

// HasPending: what is written leaves with the round.
func (f *Front) HasPending() bool { return false }

// Sweep gives what has been idle, or at half a message, for too long its notice, and ends it once nothing can cross that
// any more. A draining instance ends only what brings nothing whole: the others end it themselves.
func (f *Front) Sweep(now time.Time) {
	if now.Before(f.next) {
		return
	}
	f.next = now.Add(sweepEvery)
	for c := range f.conns {
		stalled := c.stalled(now)
		switch {
		case c.ended:
		case c.noticed.IsZero():
			if stalled || !c.HasPending() && now.Sub(c.last) > f.idle {
				c.notice(now)
			}
		case now.Sub(c.noticed) <= crossing:
		case stalled, !f.draining && !c.HasPending() && now.Sub(c.last) > crossing:
			c.end()
		}
	}
	if f.refused > 0 {
		f.log.Warn("connections refused: at the limit", zap.Int("refused", f.refused), zap.Int("limit", f.most))
		f.refused = 0
	}
}
