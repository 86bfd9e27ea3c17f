// This file owns the life of a connection. What we dialled closes at once: nobody there is owed an answer. What we
// accepted ends by one path, whatever the reason: open; draining (Close was called or its Read failed: nothing more
// is read by the peer, what it owes is still written); half-closed (all is written and our side is shut; what comes
// is dropped, so that closing over it does not reset the connection and take answers with it); closed. The steps are
// bounded: draining by the peer, which owes nothing for ever, and by what all together may leave unread; the rest by
// lingerFor, mostDropped and mostEnding connections at a time, of which the oldest goes.

package loop

import (
	"errors"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	lingerTimeout = time.Second // the other side has so long to read what is left and to end
	maxDiscarded  = 256 << 10   // bytes, before the end as well as after it, that end a half-closed connection
)

// connState is how far a connection is with its life.
type connState int

const (
	stateOpen connState = iota
	stateDraining
	stateHalfClosed
	stateClosed
)

type conn struct {
	loop          *Loop
	socket        gnet.Conn
	handler       Handler
	serverHandler ServerHandler // the peer of what we accepted; none on what we dialled
	output        []byte        // emptied each round
	dirty         bool
	state         connState
	lingerUntil   time.Time // nothing is owed: it closes then at the latest
	discarded     int
}

// discardHandler sits on a connection for which there is no room.
type discardHandler struct{}

func (discardHandler) Opened(Conn)           {}
func (discardHandler) Received([]byte) error { return nil }
func (discardHandler) Closed(error)          {}
func (discardHandler) HasPending() bool      { return false }

// OnOpen greets a connection of either kind.
func (l *Loop) OnOpen(g gnet.Conn) (out []byte, action gnet.Action) {
	c := &conn{loop: l, socket: g}
	switch of := g.Context().(type) {
	case Handler:
		c.handler = of
	case acceptedMarker:
		if c.serverHandler = l.host.Accept(); c.serverHandler == nil {
			c.serverHandler = discardHandler{}
			c.Close()
		}
		c.handler, l.acceptedConns[c], l.hasUnreadConns = c.serverHandler, struct{}{}, true
	default:
		return nil, gnet.None // the socket of find
	}
	g.SetContext(c)
	WithRecover(l.log, "open", func() { c.handler.Opened(c) })
	l.scheduleTick()
	return nil, gnet.None
}

// OnTraffic hands over what came.
func (l *Loop) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*conn)
	data, _ := g.Next(-1)
	if !ok {
		return gnet.None
	}
	if c.state != stateOpen {
		if c.discarded += len(data); c.discarded > maxDiscarded && c.state == stateHalfClosed { // before that answers are owed
			return gnet.Close
		}
		return gnet.None
	}
	l.hasReceived = true
	l.scheduleTick()
	err := errors.New("peer failed")
	WithRecover(l.log, "read", func() { err = c.handler.Received(data) })
	if err == nil {
		return gnet.None
	}
	l.log.Warn("connection closed", zap.Error(err), zap.Stringer("peer", g.RemoteAddr()))
	c.Close()
	if c.serverHandler == nil { // its peer starts anew at once, with what was missed
		c.flush()
	}
	return gnet.None
}

// OnClose tells the peer.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*conn); ok && l.phase != PhaseStopped {
		delete(l.blocked, c)
		delete(l.lingering, c)
		delete(l.acceptedConns, c)
		if err == nil {
			err = net.ErrClosed
		}
		c.state = stateClosed
		WithRecover(l.log, "close", func() { c.handler.Closed(&ConnError{true, err}) })
		l.scheduleTick()
	}
	return gnet.None
}

// Write puts bytes down for the end of the round.
func (c *conn) Write(p []byte) {
	if c.state < stateHalfClosed {
		c.output = append(c.output, p...)
		c.markDirty()
	}
}

// Close ends the connection once nothing is owed on it.
func (c *conn) Close() {
	if c.state == stateOpen {
		c.state = stateDraining
		c.markDirty()
	}
}

func (c *conn) markDirty() {
	if !c.dirty {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
		c.loop.scheduleTick()
	}
}

func (c *conn) flush() {
	c.dirty = false
	if c.state < stateHalfClosed && len(c.output) > 0 {
		_, _ = c.socket.Write(c.output) // closes the connection itself if it fails
	}
	if c.output = c.output[:0]; cap(c.output) > maxRetainedBuffer {
		c.output = nil
	}
	if c.state == stateClosed {
		return
	}
	if c.socket.OutboundBuffered() > 0 {
		c.loop.blocked[c] = struct{}{}
	}
	if c.state == stateDraining {
		c.advanceClose()
	}
}

// advanceClose goes as far towards the end as what is owed and unwritten allows.
func (c *conn) advanceClose() {
	if c.serverHandler == nil {
		_ = c.loop.eventLoop.Close(c.socket)
		return
	}
	if c.serverHandler.HasPending() {
		return
	}
	if c.lingerUntil.IsZero() {
		c.lingerUntil = time.Now().Add(c.loop.lingerTimeout)
		c.loop.lingering[c] = struct{}{}
	}
	if c.socket.OutboundBuffered() > 0 {
		return
	}
	if c.state = stateHalfClosed; unix.Shutdown(c.socket.Fd(), unix.SHUT_WR) != nil {
		_ = c.loop.eventLoop.Close(c.socket)
	}
}

// closeExpired closes what has had its time, and the oldest beyond the room for them; it tells when the next has.
func (l *Loop) closeExpired(now time.Time) (next time.Time) {
	for {
		var oldest *conn
		for c := range l.lingering {
			if oldest == nil || c.lingerUntil.Before(oldest.lingerUntil) {
				oldest = c
			}
		}
		if oldest == nil {
			return time.Time{}
		}
		if len(l.lingering) <= l.maxLingering && now.Before(oldest.lingerUntil) {
			return oldest.lingerUntil
		}
		_ = l.eventLoop.Close(oldest.socket)
	}
}
