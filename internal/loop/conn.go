// This file owns the life of a connection, from its opening to its end.

package loop

import (
	"errors"
	"net"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
)

type conn struct {
	l       *Loop
	g       gnet.Conn
	peer    Peer
	out     []byte // emptied each round
	dirty   bool
	closing bool
}

// OnOpen greets a connection of either kind.
func (l *Loop) OnOpen(g gnet.Conn) (out []byte, action gnet.Action) {
	var p Peer
	switch of := g.Context().(type) {
	case Peer:
		p = of
	case accepted:
		if p = l.host.Accept(); p == nil {
			return nil, gnet.Close
		}
	default:
		return nil, gnet.None // the socket of find
	}
	c := &conn{l: l, g: g, peer: p}
	g.SetContext(c)
	Guard(l.log, "open", func() { p.Opened(c) })
	l.mark()
	return nil, gnet.None
}

// OnTraffic hands over what came.
func (l *Loop) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*conn)
	data, _ := g.Next(-1)
	if !ok || c.closing {
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
	c.flush()
	return gnet.Close
}

// OnClose tells the peer.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*conn); ok && l.phase != Ended {
		if delete(l.stuck, c); err == nil {
			err = net.ErrClosed
		}
		c.closing = true
		Guard(l.log, "close", func() { c.peer.Closed(&Broken{true, err}) })
		l.mark()
	}
	return gnet.None
}

// Write puts bytes down for the end of the round.
func (c *conn) Write(p []byte) {
	c.out = append(c.out, p...)
	c.touch()
}

// Close ends the connection at the end of the round.
func (c *conn) Close() {
	c.closing = true
	c.touch()
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
	if c.g.Context() == c && len(c.out) > 0 {
		_, _ = c.g.Write(c.out) // closes the connection itself if it fails
	}
	if c.out = c.out[:0]; cap(c.out) > keptBuffer {
		c.out = nil
	}
	if c.g.Context() != c {
		return // closed meanwhile
	}
	if c.g.OutboundBuffered() > 0 {
		c.l.stuck[c] = struct{}{}
	}
	if c.closing {
		_ = c.l.el.Close(c.g)
	}
}
