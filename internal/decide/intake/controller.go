package intake

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/decide/random"
)

const (
	minPause       = 100 * time.Millisecond // a pause lasts at least this long, so that consuming does not flap
	maxPause       = 5 * time.Second        // the longest pause for one Retry-After or one failed publish
	cancelledPause = time.Second            // after the broker cancelled a consumer

	saturatedAbove = 0.9 // of the instance's capacity: consuming pauses
	saturatedBelow = 0.7 // of the instance's capacity: consuming resumes
)

// Host performs the actions that a Controller decides on.
type Host interface {
	Dial(broker int)                         // connects to a broker; answered by Connected or ConnectionFailed
	Disconnect(reason string)                // drops the connection; no event of it follows
	Consume(credit int)                      // starts or restarts the consumers with the credit for each queue
	Pause()                                  // cancels the consumers; unsettled messages remain to be settled
	ScheduleTick(at time.Duration)           // asks for a call of Tick at that time
	Log(message string, fields ...zap.Field) // writes one structured log line
}

// Config is what a Controller is created with.
type Config struct {
	Brokers              int           // number of brokers, at least 1
	MinCredit, MaxCredit int           // bounds of the credit per queue
	ResponseTimeout      time.Duration // a broker that owes a response for longer is disconnected
}

// InstanceState is the load of the instance that processes the messages.
type InstanceState struct {
	Ready    bool // whether the instance accepts requests
	Requests int  // in the instance, queued or running
	Capacity int  // the most requests that the instance can hold
}

// phase is the state of the connection.
type phase uint8

const (
	disconnected phase = iota // waits until dialAt
	dialling                  // waits for Connected or ConnectionFailed
	paused                    // connected, not consuming
	consuming
)

// pauseReason says why nothing may be consumed; empty: nothing forbids it.
type pauseReason string

const (
	pauseDraining  pauseReason = "draining"
	pauseNotReady  pauseReason = "not ready"
	pauseBlocked   pauseReason = "blocked by the broker"
	pauseSaturated pauseReason = "instance saturated"
	pauseBackoff   pauseReason = "rejected or not published"
)

// Controller is the state of one instance's intake.
type Controller struct {
	host   Host
	config Config
	random random.Source

	phase     phase
	ready     bool
	saturated bool
	draining  bool
	blocked   bool          // the broker accepts no publishes
	pausedAt  time.Duration // start of the last pause
	pauseEnd  time.Duration // consuming is held off until then

	connection connection
	credit     creditControl
}

// New returns a controller that connects once the instance is ready; seed drives the jitter of the backoff.
func New(host Host, seed uint64, config Config) *Controller {
	return &Controller{host: host, config: config, random: random.New(seed), connection: newConnection(config.Brokers),
		credit: creditControl{target: config.MinCredit}}
}

// UpdateInstance takes in the state of the instance. Saturation has hysteresis between saturatedBelow and
// saturatedAbove.
func (c *Controller) UpdateInstance(now time.Duration, state InstanceState) {
	items, capacity := float64(state.Requests), float64(state.Capacity)
	if items >= saturatedAbove*capacity {
		c.saturated = true
	} else if items < saturatedBelow*capacity {
		c.saturated = false
	}
	c.ready = state.Ready
	c.advance(now)
}

// Drain stops consuming and dialling permanently.
func (c *Controller) Drain(now time.Duration) {
	c.draining = true
	c.advance(now)
}

// SetBlocked notes whether the broker accepts publishes. A blocked broker is not expected to respond.
func (c *Controller) SetBlocked(now time.Duration, blocked bool) {
	c.blocked = blocked
	c.connection.pendingSince = now
	c.advance(now)
}

// ConsumerCancelled notes that the broker has cancelled a consumer, as it does when a queue is deleted or moved.
// Consuming starts again after a pause; if the queue is gone, the broker then ends the connection.
func (c *Controller) ConsumerCancelled(now time.Duration) {
	if c.phase != consuming {
		return
	}
	c.host.Log("consumer cancelled by the broker")
	c.pauseFor(now, cancelledPause)
}

// Tick re-evaluates everything that depends on time. The Host calls it at the time of the last ScheduleTick; further calls
// are allowed.
func (c *Controller) Tick(now time.Duration) {
	if c.isResponseOverdue(now) {
		c.disconnect(now, fmt.Sprintf("no answer for %v", c.config.ResponseTimeout))
	}
	if now-c.credit.adjustedAt >= adjustInterval {
		c.credit.adjust(now, c.config)
	}
	c.advance(now)
}

// pauseFor holds consuming off for a while, maxPause at most.
func (c *Controller) pauseFor(now, span time.Duration) {
	c.pauseEnd = max(c.pauseEnd, now+min(span, maxPause))
	c.advance(now)
}

// pauseReason returns why nothing may be consumed now.
func (c *Controller) pauseReason(now time.Duration) pauseReason {
	switch {
	case c.draining:
		return pauseDraining
	case !c.ready:
		return pauseNotReady
	case c.blocked:
		return pauseBlocked
	case c.saturated:
		return pauseSaturated
	case now < c.pauseEnd:
		return pauseBackoff
	}
	return ""
}

// advance takes the transitions that the present state allows, and schedules the next tick.
func (c *Controller) advance(now time.Duration) {
	reason := c.pauseReason(now)
	switch c.phase {
	case disconnected:
		if c.draining {
			return
		}
		if c.ready && now >= c.connection.dialAt {
			c.phase = dialling
			c.host.Dial(c.connection.current)
			return
		}
	case consuming:
		if reason != "" {
			c.pause(now, reason)
		} else if c.credit.shouldChange(now) {
			c.consume(now)
		}
	case paused:
		if reason == "" && now-c.pausedAt >= minPause {
			c.phase = consuming
			c.consume(now)
		}
	}
	c.host.ScheduleTick(c.nextTick(now))
}

// pause cancels the consumers. A backoff is not logged, as it comes and goes with each peak of load.
func (c *Controller) pause(now time.Duration, reason pauseReason) {
	c.phase = paused
	c.pausedAt = now
	c.host.Pause()
	if reason != pauseBackoff {
		c.host.Log("consuming paused", zap.String("reason", string(reason)))
	}
}

// consume starts the consumers with the target credit, or restarts them.
func (c *Controller) consume(now time.Duration) {
	c.credit.apply(now)
	c.host.Consume(c.credit.inForce)
}

// nextTick returns when something can change by time alone, adjustInterval from now at the latest.
func (c *Controller) nextTick(now time.Duration) time.Duration {
	latest := now + adjustInterval
	switch {
	case c.phase == disconnected && c.connection.dialAt > now:
		return min(latest, c.connection.dialAt)
	case c.phase == paused && c.pauseEnd > now:
		return min(latest, max(c.pauseEnd, c.pausedAt+minPause))
	case c.phase == paused:
		return min(latest, max(c.pausedAt, now)+minPause)
	}
	return latest
}
