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
	cancelledPause = time.Second            // pause after the broker cancelled a consumer

	saturationHighWatermark = 0.9 // fraction of the instance's capacity in use at which consuming pauses
	saturationLowWatermark  = 0.7 // fraction below which consuming resumes
)

// Host performs the actions that a Controller decides on.
type Host interface {
	Dial(broker int)                         // connects to the broker with this index; Connected or ConnectionFailed must follow
	Disconnect(reason string)                // closes the connection; no event of it may follow
	Consume(credit int)                      // starts the consumers with this credit per queue, or restarts them
	Pause()                                  // cancels the consumers; unsettled messages still have to be settled
	ScheduleTick(at time.Duration)           // arranges a call of Tick at this time
	Log(message string, fields ...zap.Field) // writes one structured log line
}

// Config configures a Controller.
type Config struct {
	Brokers              int           // number of brokers, at least 1
	MinCredit, MaxCredit int           // bounds of the credit per queue
	ResponseTimeout      time.Duration // if a response is pending for longer, the connection is closed
}

// InstanceState is the load of the instance that processes the messages.
type InstanceState struct {
	Ready    bool // whether the instance can process requests at all
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

// pauseReason says why nothing may be consumed. It is empty if consuming is allowed.
type pauseReason string

const (
	pauseDraining  pauseReason = "draining"
	pauseNotReady  pauseReason = "not ready"
	pauseBlocked   pauseReason = "blocked by the broker"
	pauseSaturated pauseReason = "instance saturated"
	pauseBackoff   pauseReason = "rejected or not published"
)

// Controller decides when and how one instance consumes from its brokers.
type Controller struct {
	host   Host
	config Config
	random random.Source

	phase     phase
	ready     bool
	saturated bool
	draining  bool
	blocked   bool          // whether the broker accepts no publishes
	pausedAt  time.Duration // start of the last pause
	pauseEnd  time.Duration // consuming may not resume before this time

	connection connection
	credit     creditControl
}

// New returns a controller that connects once the instance is ready. seed determines the jitter of the backoff.
func New(host Host, seed uint64, config Config) *Controller {
	return &Controller{host: host, config: config, random: random.New(seed), connection: newConnection(config.Brokers),
		credit: creditControl{target: config.MinCredit}}
}

// UpdateInstance records the state of the instance. The instance counts as saturated from saturationHighWatermark on, until
// it is below saturationLowWatermark.
func (c *Controller) UpdateInstance(now time.Duration, state InstanceState) {
	requests, capacity := float64(state.Requests), float64(state.Capacity)
	if requests >= saturationHighWatermark*capacity {
		c.saturated = true
	} else if requests < saturationLowWatermark*capacity {
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

// SetBlocked records whether the broker has stopped accepting publishes. A blocked broker is not expected to respond.
func (c *Controller) SetBlocked(now time.Duration, blocked bool) {
	c.blocked = blocked
	c.connection.pendingSince = now
	c.advance(now)
}

// ConsumerCancelled records that the broker has cancelled a consumer, as it does when a queue is deleted or moved. All
// consumers are restarted after a pause. If the queue no longer exists, the broker then closes the connection.
func (c *Controller) ConsumerCancelled(now time.Duration) {
	if c.phase != consuming {
		return
	}
	c.host.Log("consumer cancelled by the broker")
	c.pauseFor(now, cancelledPause)
}

// Tick re-evaluates everything that depends on time. The Host must call it at the time of the last ScheduleTick, and may
// call it more often.
func (c *Controller) Tick(now time.Duration) {
	if c.isResponseOverdue(now) {
		c.disconnect(now, fmt.Sprintf("no response from the broker for %v", c.config.ResponseTimeout))
	}
	if now-c.credit.adjustedAt >= adjustInterval {
		c.credit.adjust(now, c.config)
	}
	c.advance(now)
}

// pauseFor pauses consuming for a time span, at most maxPause.
func (c *Controller) pauseFor(now, span time.Duration) {
	c.pauseEnd = max(c.pauseEnd, now+min(span, maxPause))
	c.advance(now)
}

// pauseReason returns why nothing may be consumed now, or an empty reason if consuming is allowed.
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

// advance makes the transition that the current state and time call for, if any, and schedules the next tick.
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
		} else if c.credit.isChangeDue(now) {
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

// pause cancels the consumers. A backoff is not logged, as one occurs at each load peak.
func (c *Controller) pause(now time.Duration, reason pauseReason) {
	c.phase = paused
	c.pausedAt = now
	c.host.Pause()
	if reason != pauseBackoff {
		c.host.Log("consuming paused", zap.String("reason", string(reason)))
	}
}

// consume starts or restarts the consumers with the target credit.
func (c *Controller) consume(now time.Duration) {
	c.credit.applyTarget(now)
	c.host.Consume(c.credit.current)
}

// nextTick returns the time at which the state can next change without an event, at most adjustInterval from now.
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
