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
	lingerFor   = time.Second // the other side has so long to read what is left and to end
	mostDropped = 256 << 10   // bytes, before the end as well as after it, that end a half-closed connection
)

// state is how far a connection is with its life.
type state int

const (
	open state = iota
	draining
	halfClosed
	closed
)

type conn struct {
	l       *Loop
	g       gnet.Conn
	peer    Peer
	caller  Caller // the peer of what we accepted; none on what we dialled
	out     []byte // emptied each round
	dirty   bool
	state   state
	until   time.Time // nothing is owed: it closes then at the latest
	dropped int
}

// nobody sits on a connection for which there is no room.
type nobody struct{}

func (nobody) Opened(Wire)       {}
func (nobody) Read([]byte) error { return nil }
func (nobody) Closed(error)      {}
func (nobody) Owes() bool        { return false }

// OnOpen greets a connection of either kind.
func (l *Loop) OnOpen(g gnet.Conn) (out []byte, action gnet.Action) {
	c := &conn{l: l, g: g}
	switch of := g.Context().(type) {
	case Peer:
		c.peer = of
	case accepted:
		if c.caller = l.host.Accept(); c.caller == nil {
			c.caller = nobody{}
			c.Close()
		}
		c.peer, l.callers[c], l.joined = c.caller, struct{}{}, true
	default:
		return nil, gnet.None // the socket of find
	}
	g.SetContext(c)
	Guard(l.log, "open", func() { c.peer.Opened(c) })
	l.mark()
	return nil, gnet.None
}

// OnTraffic hands over what came.
func (l *Loop) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*conn)
	data, _ := g.Next(-1)
	if !ok {
		return gnet.None
	}
	if c.state != open {
		if c.dropped += len(data); c.dropped > mostDropped && c.state == halfClosed { // before that answers are owed
			return gnet.Close
		}
		return gnet.None
	}
	l.read = true
	l.mark()
	err := errors.New("peer failed")
	Guard(l.log, "read", func() { err = c.peer.Read(data) })
	if err == nil {
		return gnet.None
	}
	l.log.Warn("connection closed", zap.Error(err), zap.Stringer("peer", g.RemoteAddr()))
	c.Close()
	if c.caller == nil { // its peer starts anew at once, with what was missed
		c.flush()
	}
	return gnet.None
}

// OnClose tells the peer.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*conn); ok && l.phase != Ended {
		delete(l.stuck, c)
		delete(l.ending, c)
		delete(l.callers, c)
		if err == nil {
			err = net.ErrClosed
		}
		c.state = closed
		Guard(l.log, "close", func() { c.peer.Closed(&Broken{true, err}) })
		l.mark()
	}
	return gnet.None
}

// Write puts bytes down for the end of the round.
func (c *conn) Write(p []byte) {
	if c.state < halfClosed {
		c.out = append(c.out, p...)
		c.touch()
	}
}

// Close ends the connection once nothing is owed on it.
func (c *conn) Close() {
	if c.state == open {
		c.state = draining
		c.touch()
	}
}

func (c *conn) touch() {
	if !c.dirty {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
		c.l.mark()
	}
}

func (c *conn) flush() {
	c.dirty = false
	if c.state < halfClosed && len(c.out) > 0 {
		_, _ = c.g.Write(c.out) // closes the connection itself if it fails
	}
	if c.out = c.out[:0]; cap(c.out) > keptBuffer {
		c.out = nil
	}
	if c.state == closed {
		return
	}
	if c.g.OutboundBuffered() > 0 {
		c.l.stuck[c] = struct{}{}
	}
	if c.state == draining {
		c.finish()
	}
}

// finish goes as far towards the end as what is owed and unwritten allows.
func (c *conn) finish() {
	if c.caller == nil {
		_ = c.l.el.Close(c.g)
		return
	}
	if c.caller.Owes() {
		return
	}
	if c.until.IsZero() {
		c.until = time.Now().Add(c.l.linger)
		c.l.ending[c] = struct{}{}
	}
	if c.g.OutboundBuffered() > 0 {
		return
	}
	if c.state = halfClosed; unix.Shutdown(c.g.Fd(), unix.SHUT_WR) != nil {
		_ = c.l.el.Close(c.g)
	}
}

// sweepEnding closes what has had its time, and the oldest beyond the room for them; it tells when the next has.
func (l *Loop) sweepEnding(now time.Time) (next time.Time) {
	for {
		var oldest *conn
		for c := range l.ending {
			if oldest == nil || c.until.Before(oldest.until) {
				oldest = c
			}
		}
		if oldest == nil {
			return time.Time{}
		}
		if len(l.ending) <= l.mostEnding && now.Before(oldest.until) {
			return oldest.until
		}
		_ = l.el.Close(oldest.g)
	}
}
