package intake

import (
	"time"

	"go.uber.org/zap"
)

const (
	minBackoff      = 50 * time.Millisecond // before a broker is dialled again; doubled after each failure
	maxBackoff      = 10 * time.Second
	rejectedBackoff = 30 * time.Second // after a rejected login or name, which the broker is likely to reject again
	backoffGrowth   = 2
	minJitter       = 0.5 // a backoff is multiplied by a random factor from minJitter to minJitter+1

	// The loss of a connection that lasted stableAfter, or on which stableMessages were settled, resets its broker's backoff.
	stableAfter    = 10 * time.Second
	stableMessages = 100
)

// Failure says at which stage a connection failed.
type Failure int

// The failures of a connection.
const (
	ConnectFailed    Failure = iota // the broker is unreachable, or the connection was lost before it was set up
	RejectedByBroker                // the broker rejected the login, the virtual host, a queue or an exchange
	ConnectionLost                  // the connection was lost after it was set up
)

// broker is the backoff state of one broker.
type broker struct {
	backoff    time.Duration // the next backoff, before jitter
	retryAfter time.Duration // when the broker may be dialled again
}

// connection is the state of the current connection, and of all brokers to choose the next one from.
type connection struct {
	brokers         []broker
	current         int           // index of the broker that is connected, being dialled or dialled next
	dialAt          time.Duration // when the current broker may be dialled
	establishedAt   time.Duration
	settled         int           // messages settled on this connection
	pendingRequests int           // requests that the broker has not responded to yet
	pendingSince    time.Duration // when the first of them was sent, or the last response arrived
}

func newConnection(brokers int) connection {
	c := connection{brokers: make([]broker, brokers)}
	for n := range c.brokers {
		c.brokers[n].backoff = minBackoff
	}
	return c
}

// isStable reports whether the connection lasted long enough, or settled enough messages, to reset its broker's backoff.
func (c *connection) isStable(now time.Duration) bool {
	return now-c.establishedAt >= stableAfter || c.settled >= stableMessages
}

// nextBroker returns the index of the broker that may be dialled earliest. Of several with the same time it prefers the
// current broker, then the first one after it.
func (c *connection) nextBroker() int {
	next := c.current
	for n := range c.brokers {
		candidate := (c.current + 1 + n) % len(c.brokers)
		if c.brokers[candidate].retryAfter < c.brokers[next].retryAfter {
			next = candidate
		}
	}
	return next
}

// Connected records that the connection is set up, with all queues and exchanges that it needs.
func (c *Controller) Connected(now time.Duration) {
	if c.phase != dialling {
		return
	}
	c.phase = paused
	c.blocked = false
	c.connection.establishedAt = now
	c.connection.settled = 0
	c.connection.pendingRequests = 0
	c.credit.unsettled = 0
	c.credit.peakUnsettled = 0
	c.pausedAt = now - minPause // consuming may start at once
	c.host.Log("broker connected", zap.Int("broker", c.connection.current+1))
	c.advance(now)
}

// ConnectionFailed records that a connection could not be set up or was lost. The next broker is dialled once its own
// backoff is over.
func (c *Controller) ConnectionFailed(now time.Duration, failure Failure, reason string) {
	if c.phase == disconnected {
		return
	}
	c.backOff(now, failure)
	c.phase = disconnected
	c.credit.unsettled = 0
	c.connection.pendingRequests = 0
	if c.draining {
		return
	}
	next := c.connection.nextBroker()
	retryAfter := c.connection.brokers[next].retryAfter
	c.host.Log("broker connection lost",
		zap.Int("broker", c.connection.current+1),
		zap.String("reason", reason),
		zap.Int("next_broker", next+1),
		zap.Duration("retry_after", max(retryAfter-now, 0).Round(time.Millisecond)))
	c.connection.current = next
	c.connection.dialAt = max(retryAfter, now)
	c.advance(now)
}

// backOff sets when the current broker may be dialled again.
func (c *Controller) backOff(now time.Duration, failure Failure) {
	failed := &c.connection.brokers[c.connection.current]
	if c.phase > dialling && c.connection.isStable(now) {
		failed.backoff = minBackoff
	}
	wait := failed.backoff
	failed.backoff = min(backoffGrowth*failed.backoff, maxBackoff)
	if failure == RejectedByBroker {
		wait = rejectedBackoff
	}
	failed.retryAfter = now + time.Duration(float64(wait)*(minJitter+c.random.Float64()))
}

// RequestSent records that the broker owes one more response. If requests are pending and no response arrives for
// Config.ResponseTimeout, the connection is closed.
func (c *Controller) RequestSent(now time.Duration) {
	c.connection.pendingRequests++
	if c.connection.pendingRequests == 1 {
		c.connection.pendingSince = now
	}
}

// ResponseReceived records the response to one request.
func (c *Controller) ResponseReceived(now time.Duration) {
	c.connection.pendingRequests = max(c.connection.pendingRequests-1, 0)
	c.connection.pendingSince = now
}

// isResponseOverdue reports whether requests are pending and the broker has not responded for Config.ResponseTimeout. A
// blocked broker is not expected to respond.
func (c *Controller) isResponseOverdue(now time.Duration) bool {
	return c.phase >= paused && !c.blocked && c.connection.pendingRequests > 0 &&
		now-c.connection.pendingSince > c.config.ResponseTimeout
}

// ProtocolViolated records that the broker violated the protocol. The connection is closed.
func (c *Controller) ProtocolViolated(now time.Duration, reason string) {
	if c.phase >= paused {
		c.disconnect(now, reason)
	}
}

// disconnect closes the connection, and proceeds as after its loss.
func (c *Controller) disconnect(now time.Duration, reason string) {
	c.host.Disconnect(reason)
	c.ConnectionFailed(now, ConnectionLost, reason)
}
