package loop

import (
	"errors"

	"go.uber.org/zap"
)

// maxUnsentBytesPerConn is the amount of unsent output above which a connection drains, as its peer does not read.
const maxUnsentBytesPerConn = 256 << 10

// Logged reasons for closing a connection with unsent output.
var (
	errConnUnsentLimit  = errors.New("peer does not read: unsent output of the connection exceeds its limit")
	errTotalUnsentLimit = errors.New("unsent output of all connections exceeds its limit")
)

// flush sends the output of all connections in flushQueue and closes those that are to be closed. It runs at the end of each tick,
// and earlier if the input of many connections causes much output.
func (l *Loop) flush() {
	for n := 0; n < len(l.flushQueue); n++ { // may grow: a flush may close a connection, whose handler may write to others
		l.flushQueue[n].flush()
	}
	l.flushQueue = l.flushQueue[:0]
	l.unflushedBytes = 0
	if len(l.connsWithUnsent) > 0 {
		l.enforceUnsentLimits()
	}
}

func (c *conn) flush() {
	c.flushQueued = false
	if c.state < stateHalfClosed && len(c.output) > 0 {
		_, _ = c.socket.Write(c.output) // gnet closes the connection if it fails
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

// enforceUnsentLimits closes connections whose peers leave too much output unread. A connection above maxUnsentBytesPerConn
// drains, and its pending replies are still sent. While the total is above maxTotalUnsentBytes, the connection with the most
// unsent output closes at once, as the memory bound takes precedence over its replies.
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

// unsentOutput sums up the unsent output of all connections.
type unsentOutput struct {
	totalBytes   int
	largest      *conn // connection with the most unsent output, or nil
	largestBytes int
}

// measureUnsent adds up the unsent output. It also removes connections that have sent everything from connsWithUnsent and drains
// those above maxUnsentBytesPerConn.
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
