package intake

import "time"

const (
	adjustInterval    = 500 * time.Millisecond // between adjustments of the target credit
	minChangeInterval = time.Second            // between changes of the current credit, as each restarts the consumers
	baselinePeriod    = 10 * time.Second       // over which the smallest mean processing time is measured

	// The credit grows while fewer messages than a first threshold wait in the instance, and shrinks while more than a
	// second threshold wait. Each threshold is the fixed number, or the current credit over the divisor if that is more.
	growThreshold          = 3.0
	growThresholdDivisor   = 3
	shrinkThreshold        = 8.0
	shrinkThresholdDivisor = 2
	growFactor             = 1.5
	shrinkFactor           = 0.75
	requeuedFactor         = 0.5 // instead of shrinkFactor, if more than maxRequeuedFraction of the settled messages were requeued
	maxRequeuedFraction    = 0.1

	minProcessingSeconds = 1e-4 // lower bound for the processing time of a message
)

// Outcome says how a message was settled.
type Outcome int

// The outcomes of a message.
const (
	Completed     Outcome = iota // processed, or dead-lettered
	Requeued                     // rejected by the instance and returned to its queue
	PublishFailed                // not settled, because the broker did not accept a message that had to be published for it
)

// creditControl adapts the credit to the load. An interval is the time since the last adjustment.
type creditControl struct {
	target     int // the credit to apply at the next change
	current    int // the credit that the consumers were last started with
	changedAt  time.Duration
	adjustedAt time.Duration

	unsettled     int // received messages that are not settled yet
	peakUnsettled int // the largest value of unsettled in the interval

	settled          int     // in the interval
	requeued         int     // in the interval
	completed        float64 // in the interval
	completedSeconds float64 // sum of their processing times

	// The smallest mean processing time of any interval in the current and in the previous baselinePeriod; 0 if there
	// is none yet.
	minMeanSeconds, previousMinMeanSeconds float64
	baselineSince                          time.Duration
}

// Credit returns the credit that the consumers have, or 0 while nothing is consumed.
func (c *Controller) Credit() int {
	if c.phase != consuming {
		return 0
	}
	return c.credit.current
}

// Unsettled returns the number of received messages that are not settled yet.
func (c *Controller) Unsettled() int { return c.credit.unsettled }

// MessagesReceived records that this number of messages was received.
func (c *Controller) MessagesReceived(count int) {
	c.credit.unsettled += count
	c.credit.peakUnsettled = max(c.credit.peakUnsettled, c.credit.unsettled)
}

// MessageSettled records the outcome of one message and how long it was in the instance. A requeued message pauses the
// consumers of all queues for retryAfter, at most maxPause.
func (c *Controller) MessageSettled(now time.Duration, outcome Outcome, processing, retryAfter time.Duration) {
	c.connection.settled++
	c.credit.recordSettled(outcome, processing)
	switch outcome {
	case Requeued:
		c.pauseFor(now, retryAfter)
	case PublishFailed:
		c.pauseFor(now, maxPause)
	}
}

// recordSettled adds one settled message to the counts of the interval.
func (c *creditControl) recordSettled(outcome Outcome, processing time.Duration) {
	c.unsettled = max(c.unsettled-1, 0)
	c.settled++
	switch outcome {
	case Completed:
		c.completedSeconds += max(processing.Seconds(), minProcessingSeconds)
		c.completed++
	case Requeued:
		c.requeued++
	}
}

// isChangeDue reports whether the target differs from the current credit and the consumers may be restarted now.
func (c *creditControl) isChangeDue(now time.Duration) bool {
	return c.target != c.current && now-c.changedAt >= minChangeInterval
}

// applyTarget makes the target the current credit.
func (c *creditControl) applyTarget(now time.Duration) {
	c.current = c.target
	c.changedAt = now
}

// adjust sets the target according to the interval that ends now, and begins the next interval.
func (c *creditControl) adjust(now time.Duration, config Config) {
	waiting := c.estimateWaiting()
	current := float64(c.current)
	wanted := float64(c.target)
	switch {
	case c.settled > 0 && float64(c.requeued) > maxRequeuedFraction*float64(c.settled):
		wanted *= requeuedFactor
	case c.requeued > 0 || waiting > max(shrinkThreshold, current/shrinkThresholdDivisor):
		wanted *= shrinkFactor
	case c.isFullyUsed() && waiting < max(growThreshold, current/growThresholdDivisor):
		wanted = max(wanted*growFactor, wanted+1)
	}
	c.target = min(max(int(wanted), config.MinCredit), config.MaxCredit)
	c.beginInterval(now)
}

// estimateWaiting estimates how many messages wait in the instance instead of being processed. The baseline, the smallest
// mean processing time measured, is taken as the time of a message that does not wait. By Little's law the fraction of
// the unsettled messages that wait is the fraction of the mean processing time that exceeds the baseline.
func (c *creditControl) estimateWaiting() float64 {
	mean := c.completedSeconds / max(c.completed, 1)
	if c.completed > 0 && (c.minMeanSeconds == 0 || mean < c.minMeanSeconds) {
		c.minMeanSeconds = mean
	}
	baseline := c.minMeanSeconds
	if c.previousMinMeanSeconds > 0 && (baseline == 0 || c.previousMinMeanSeconds < baseline) {
		baseline = c.previousMinMeanSeconds
	}
	if baseline <= 0 || mean <= baseline {
		return 0
	}
	return float64(c.peakUnsettled) * (1 - baseline/mean)
}

// isFullyUsed reports whether in the interval messages were settled and the current credit was exhausted at least once.
func (c *creditControl) isFullyUsed() bool {
	return c.settled > 0 && c.current > 0 && c.peakUnsettled >= c.current
}

// beginInterval resets the counts of the interval, and begins a new baseline period if baselinePeriod has passed.
func (c *creditControl) beginInterval(now time.Duration) {
	if now-c.baselineSince >= baselinePeriod {
		c.baselineSince = now
		c.previousMinMeanSeconds = c.minMeanSeconds
		c.minMeanSeconds = 0
	}
	c.adjustedAt = now
	c.peakUnsettled = c.unsettled
	c.settled = 0
	c.requeued = 0
	c.completed = 0
	c.completedSeconds = 0
}
