package loop

import (
	"errors"

	"go.uber.org/zap"
)

// maxUnsentPerConn bounds, in bytes, the output that one peer may leave unread before its connection closes.
const maxUnsentPerConn = 256 << 10

// Reasons for which a connection with unsent output is closed, as they are logged.
var (
	errSlowReader  = errors.New("peer does not read")
	errSlowReaders = errors.New("peers do not read")
)

// flush sends the buffered output of all connections and closes those that are to be closed.
func (l *Loop) flush() {
	for n := 0; n < len(l.dirty); n++ { // dirty may grow: a flush may close a connection, whose handler may write to others
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

// enforceUnsentLimits closes connections whose peers leave too much output unread. A connection over maxUnsentPerConn
// drains, and its pending replies are still sent. While the total is over its limit, the connection with most unsent output
// closes at once, as bounding the memory takes precedence over its replies.
func (l *Loop) enforceUnsentLimits() {
	for {
		unsent := l.measureUnsent()
		if unsent.totalBytes <= l.maxTotalUnsent {
			return
		}
		l.log.Warn("connection closed",
			zap.Error(errSlowReaders),
			zap.Int("unsent_bytes", unsent.largestBytes),
			zap.Int("total_unsent_bytes", unsent.totalBytes))
		delete(l.blocked, unsent.largest)
		unsent.largest.closeNow()
	}
}

// unsentOutput is the output of all connections that is not sent yet.
type unsentOutput struct {
	totalBytes   int
	largest      *conn // connection with most of it; nil: none
	largestBytes int
}

// measureUnsent adds up the unsent output. It also removes connections that have sent everything from blocked, and drains
// those over maxUnsentPerConn.
func (l *Loop) measureUnsent() (unsent unsentOutput) {
	for c := range l.blocked {
		bytes := c.socket.OutboundBuffered()
		if bytes == 0 {
			delete(l.blocked, c)
			if c.state == stateDraining {
				c.advanceClose()
			}
			continue
		}
		if bytes > maxUnsentPerConn && c.state == stateOpen {
			l.log.Warn("connection closing", zap.Error(errSlowReader), zap.Int("unsent_bytes", bytes))
			c.Close()
		}
		unsent.totalBytes += bytes
		if bytes > unsent.largestBytes {
			unsent.largest = c
			unsent.largestBytes = bytes
		}
	}
	return unsent
}
