package loop

import (
	"errors"

	"go.uber.org/zap"
)

// maxUnsentPerConn bounds, in bytes, the output that one peer may leave unread before its connection closes.
const maxUnsentPerConn = 256 << 10

// Why a connection with unsent output is closed.
var (
	errSlowReader  = errors.New("peer does not read")
	errSlowReaders = errors.New("peers do not read")
)

// flush sends the buffered output of all connections and closes those that are to be closed.
func (l *Loop) flush() {
	for n := 0; n < len(l.dirty); n++ { // it may grow: flushing may close, and closing may write elsewhere
		l.dirty[n].flush()
	}
	l.dirty = l.dirty[:0]
	if len(l.blocked) > 0 {
		l.enforceUnsentLimits()
	}
}

func (c *conn) flush() {
	c.dirty = false
	if c.state < stateHalfClosed && len(c.output) > 0 {
		_, _ = c.socket.Write(c.output) // closes the connection itself if it fails
	}
	c.output = c.output[:0]
	if cap(c.output) > maxRetainedBuffer {
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

// enforceUnsentLimits closes connections that leave too much output unread. One over its own limit drains: pending
// replies are still sent. While the total is over the limit the connection with most unsent output closes at once, as
// memory takes precedence over replies.
func (l *Loop) enforceUnsentLimits() {
	for {
		worst, most, total := l.measureUnsent()
		if total <= l.maxTotalUnsent {
			return
		}
		l.log.Warn("connection closed",
			zap.Error(errSlowReaders),
			zap.Int("unsent_bytes", most),
			zap.Int("total_unsent_bytes", total))
		delete(l.blocked, worst)
		worst.closeNow()
	}
}

// measureUnsent returns the connection with most unsent output and the bytes of that one and of all. On its way it takes
// connections that have sent everything off the list, and closes those over maxUnsentPerConn.
func (l *Loop) measureUnsent() (worst *conn, most, total int) {
	for c := range l.blocked {
		unsent := c.socket.OutboundBuffered()
		if unsent == 0 {
			delete(l.blocked, c)
			if c.state == stateDraining {
				c.advanceClose()
			}
			continue
		}
		if unsent > maxUnsentPerConn && c.state == stateOpen {
			l.log.Warn("connection closing", zap.Error(errSlowReader), zap.Int("unsent_bytes", unsent))
			c.Close()
		}
		total += unsent
		if unsent > most {
			worst = c
			most = unsent
		}
	}
	return worst, most, total
}
