package loop

import (
	"errors"

	"go.uber.org/zap"
)

// maxUnsentBytesPerConn bounds, in bytes, the output that one peer may leave unread before its connection closes.
const maxUnsentBytesPerConn = 256 << 10

// Reasons for which a connection with unsent output is closed, as they are logged.
var (
	errConnUnsentLimit  = errors.New("peer does not read")
	errTotalUnsentLimit = errors.New("peers do not read")
)

// flush sends the buffered output of all connections and closes those that are to be closed.
func (l *Loop) flush() {
	for n := 0; n < len(l.flushQueue); n++ { // flushQueue may grow: a flush may close a connection, whose handler may write to others
		l.flushQueue[n].flush()
	}
	l.flushQueue = l.flushQueue[:0]
	if len(l.connsWithUnsent) > 0 {
		l.enforceUnsentLimits()
	}
}

func (c *conn) flush() {
	c.flushQueued = false
	if c.state < stateHalfClosed && len(c.output) > 0 {
		_, _ = c.socket.Write(c.output) // closes the connection itself if it fails
	}
	c.output = c.output[:0]
	if cap(c.output) > maxRetainedBufferBytes {
		c.output = nil
	}
	if c.state == stateClosed {
		return
	}
	if c.socket.OutboundBuffered() > 0 {
		c.loop.connsWithUnsent[c] = struct{}{}
	}
	if c.state == stateDraining {
		c.advanceClose()
	}
}

// enforceUnsentLimits closes connections whose peers leave too much output unread. A connection over maxUnsentBytesPerConn
// drains, and its pending replies are still sent. While the total is over its limit, the connection with most unsent output
// closes at once, as bounding the memory takes precedence over its replies.
func (l *Loop) enforceUnsentLimits() {
	for {
		unsent := l.measureUnsent()
		if unsent.totalBytes <= l.maxTotalUnsentBytes {
			return
		}
		l.log.Warn("connection closed",
			zap.Error(errTotalUnsentLimit),
			zap.Int("unsent_bytes", unsent.largestBytes),
			zap.Int("total_unsent_bytes", unsent.totalBytes))
		delete(l.connsWithUnsent, unsent.largest)
		unsent.largest.closeNow()
	}
}

// unsentOutput is the output of all connections that is not sent yet.
type unsentOutput struct {
	totalBytes   int
	largest      *conn // connection with most of it; nil: none
	largestBytes int
}

// measureUnsent adds up the unsent output. It also removes connections that have sent everything from connsWithUnsent, and drains
// those over maxUnsentBytesPerConn.
func (l *Loop) measureUnsent() (unsent unsentOutput) {
	for c := range l.connsWithUnsent {
		bytes := c.socket.OutboundBuffered()
		if bytes == 0 {
			delete(l.connsWithUnsent, c)
			if c.state == stateDraining {
				c.advanceClose()
			}
			continue
		}
		if bytes > maxUnsentBytesPerConn && c.state == stateOpen {
			l.log.Warn("connection closing", zap.Error(errConnUnsentLimit), zap.Int("unsent_bytes", bytes))
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
