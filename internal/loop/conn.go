package loop

import (
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	lingerTimeout          = time.Second // within which the peer has to read the remaining output and close its side
	maxDiscardedBytes      = 256 << 10   // bytes received after Close; above this, a half-closed connection is closed
	maxRetainedBufferBytes = 16 << 10    // capacity in bytes above which empty output buffers are released
)

// connState is the state of a connection. It only advances.
type connState int

const (
	// stateOpen delivers input and sends output.
	stateOpen connState = iota
	// stateDraining discards input; pending replies are still sent.
	stateDraining
	// stateHalfClosed has sent everything and shut down its sending side. Input is read and discarded until the peer
	// closes, as a close with unread input would reset the connection and lose replies.
	stateHalfClosed
	// stateClosed is the final state.
	stateClosed
)

// conn is a connection on the loop. A dialled connection closes at once, as no reply is pending on it. An accepted one goes
// through all states. The time in stateDraining is bounded by the handler, which answers every request eventually, and by the
// limits on unsent output; that in stateHalfClosed is bounded by lingerTimeout, maxDiscardedBytes and Config.MaxLingering.
type conn struct {
	loop           *Loop
	socket         gnet.Conn
	handler        Handler
	serverHandler  ServerHandler // same as handler if the connection was accepted, else nil
	output         []byte        // written by the handler; emptied by each tick
	flushQueued    bool          // in Loop.flushQueue
	state          connState
	lingerUntil    time.Time // when a closing connection is closed at the latest; zero while replies are pending
	discardedBytes int       // bytes received after Close
}

// OnOpen implements gnet.EventHandler: it calls Opened of the handler, which is a new one for an accepted connection.
func (l *Loop) OnOpen(socket gnet.Conn) (out []byte, action gnet.Action) {
	c := &conn{loop: l, socket: socket}
	switch origin := socket.Context().(type) {
	case Handler:
		c.handler = origin
	case acceptedMarker:
		c.assignServerHandler()
	default:
		return nil, gnet.None // the UDP socket of attachEventLoop
	}
	socket.SetContext(c)
	WithRecover(l.log, "open", func() { c.handler.Opened(c) })
	l.scheduleTick()
	return nil, gnet.None
}

func (c *conn) assignServerHandler() {
	c.serverHandler = c.loop.host.Accept()
	if c.serverHandler == nil {
		c.serverHandler = discardHandler{}
		c.Close()
	}
	c.handler = c.serverHandler
	c.loop.acceptedConns[c] = struct{}{}
	c.loop.hasUnreadConns = true
}

// OnTraffic implements gnet.EventHandler: it passes input to the handler, or discards it once the connection closes. Input that
// is read after the peer of an accepted connection has left is dropped with the connection: nobody waits for its replies.
func (l *Loop) OnTraffic(socket gnet.Conn) gnet.Action {
	c, ok := socket.Context().(*conn)
	data, _ := socket.Next(-1)
	if !ok {
		return gnet.None
	}
	if c.state != stateOpen {
		return c.discard(data)
	}
	l.hasReceived = true
	l.scheduleTick()
	if c.serverHandler != nil && c.hasPeerLeft() {
		return gnet.Close
	}
	err := errHandlerPanicked
	WithRecover(l.log, "receive", func() { err = c.handler.Received(data) })
	if err != nil {
		l.log.Warn("connection closed", zap.Error(err), zap.Stringer("remote_addr", socket.RemoteAddr()))
		c.Close()
		if c.serverHandler == nil { // flush now, as its handler may reconnect at once
			c.flush()
		}
	}
	if l.unflushedBytes > l.maxUnflushedBytes {
		l.flush()
	}
	return gnet.None
}

// hasPeerLeft reports whether the peer has closed or reset the connection, or shut down its sending side, even if there is input
// before that which has not been read.
func (c *conn) hasPeerLeft() bool {
	const left = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	c.loop.polled[0] = unix.PollFd{Fd: int32(c.socket.Fd()), Events: unix.POLLRDHUP}
	ready, err := unix.Poll(c.loop.polled[:], 0)
	return err == nil && ready > 0 && c.loop.polled[0].Revents&left != 0
}

// discard counts input that is no longer delivered. More than maxDiscardedBytes of it closes the connection, but only once all
// replies are sent.
func (c *conn) discard(data []byte) gnet.Action {
	c.discardedBytes += len(data)
	if c.discardedBytes > maxDiscardedBytes && c.state == stateHalfClosed {
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler: it calls the handler's Closed.
func (l *Loop) OnClose(socket gnet.Conn, err error) gnet.Action {
	c, ok := socket.Context().(*conn)
	if !ok || l.phase == PhaseStopped {
		return gnet.None
	}
	delete(l.connsWithUnsent, c)
	delete(l.lingering, c)
	delete(l.acceptedConns, c)
	if err == nil {
		err = net.ErrClosed
	}
	c.state = stateClosed
	WithRecover(l.log, "close", func() { c.handler.Closed(&ConnError{Connected: true, Err: err}) })
	l.scheduleTick()
	return gnet.None
}

// Write implements Conn.
func (c *conn) Write(p []byte) {
	if c.state >= stateHalfClosed {
		return
	}
	c.output = append(c.output, p...)
	c.loop.unflushedBytes += len(p)
	c.queueFlush()
}

// Close implements Conn.
func (c *conn) Close() {
	if c.state != stateOpen {
		return
	}
	c.state = stateDraining
	c.queueFlush()
}

// queueFlush schedules the connection to be flushed by the next tick.
func (c *conn) queueFlush() {
	if c.flushQueued {
		return
	}
	c.flushQueued = true
	c.loop.flushQueue = append(c.loop.flushQueue, c)
	c.loop.scheduleTick()
}

// advanceClose moves a draining connection to its next state once no reply is pending and all output is sent.
func (c *conn) advanceClose() {
	if c.serverHandler == nil {
		c.closeNow()
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
	c.state = stateHalfClosed
	if unix.Shutdown(c.socket.Fd(), unix.SHUT_WR) != nil {
		c.closeNow()
	}
}

func (c *conn) closeNow() { _ = c.loop.eventLoop.Close(c.socket) }

// closeExpiredLingering closes the lingering connections that are past lingerUntil, and the oldest ones above maxLingering. It
// returns when the next one expires, or the zero time if none lingers.
func (l *Loop) closeExpiredLingering(now time.Time) (next time.Time) {
	for {
		oldest := l.oldestLingering()
		if oldest == nil {
			return time.Time{}
		}
		if len(l.lingering) <= l.maxLingering && now.Before(oldest.lingerUntil) {
			return oldest.lingerUntil
		}
		oldest.closeNow()
	}
}

func (l *Loop) oldestLingering() (oldest *conn) {
	for c := range l.lingering {
		if oldest == nil || c.lingerUntil.Before(oldest.lingerUntil) {
			oldest = c
		}
	}
	return oldest
}
