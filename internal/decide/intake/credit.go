package intake

import "time"

const (
	adjustInterval    = 500 * time.Millisecond // between two adjustments of the target
	minChangeInterval = time.Second            // between two changes of the credit in force: each restarts the consumers
	baselinePeriod    = 10 * time.Second       // period over which the smallest processing time is measured

	// Messages that wait in the instance: the credit grows below the first bound and shrinks above the second. Each
	// bound is at least the fixed number and otherwise a part of the credit in force.
	fewWaiting          = 3.0
	fewWaitingDivisor   = 3
	manyWaiting         = 8.0
	manyWaitingDivisor  = 2
	growFactor          = 1.5
	shrinkFactor        = 0.75
	rejectedFactor      = 0.5 // if more than maxRejectedFraction of the settled messages were requeued
	maxRejectedFraction = 0.1

	minProcessingSeconds = 1e-4 // a message counts for at least this long
)

// Outcome says how a message was settled.
type Outcome int

// The outcomes of a message.
const (
	Completed     Outcome = iota // processed, or dead-lettered
	Requeued                     // rejected by the instance, and put back into its queue
	PublishFailed                // not settled: what had to be published for it was not accepted
)

// creditControl adapts the credit to the load, from what was settled since the last adjustment.
type creditControl struct {
	target     int // the credit that is wanted
	inForce    int // the credit that the consumers have
	changedAt  time.Duration
	adjustedAt time.Duration

	unsettled int // now
	peak      int // the most unsettled messages in the interval

	settled          int     // in the interval
	requeued         int     // in the interval
	completed        float64 // in the interval
	completedSeconds float64 // their processing times together

	// The smallest mean processing time of any interval in the present and the previous baselinePeriod, in seconds;
	// 0: none yet.
	minMean, previousMinMean float64
	baselineSince            time.Duration
}

// Credit returns the credit in force; 0 while nothing is consumed.
func (c *Controller) Credit() int {
	if c.phase != consuming {
		return 0
	}
	return c.credit.inForce
}

// Unsettled returns the number of received messages that are not settled.
func (c *Controller) Unsettled() int { return c.credit.unsettled }

// MessagesReceived notes that messages were received.
func (c *Controller) MessagesReceived(count int) {
	c.credit.unsettled += count
	c.credit.peak = max(c.credit.peak, c.credit.unsettled)
}

// MessageSettled notes how one message was settled and how long it was in the instance. The retryAfter of a requeued
// message pauses the consumers of all queues.
func (c *Controller) MessageSettled(now time.Duration, outcome Outcome, processing, retryAfter time.Duration) {
	c.connection.settled++
	c.credit.count(outcome, processing)
	switch outcome {
	case Requeued:
		c.pauseFor(now, retryAfter)
	case PublishFailed:
		c.pauseFor(now, maxPause)
	}
}

// count takes one settled message into the interval.
func (c *creditControl) count(outcome Outcome, processing time.Duration) {
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

// shouldChange reports whether the consumers may be restarted with the target.
func (c *creditControl) shouldChange(now time.Duration) bool {
	return c.target != c.inForce && now-c.changedAt >= minChangeInterval
}

// apply puts the target in force.
func (c *creditControl) apply(now time.Duration) {
	c.inForce = c.target
	c.changedAt = now
}

// adjust moves the target by what happened in the interval that ends now, and begins the next interval.
func (c *creditControl) adjust(now time.Duration, config Config) {
	waiting := c.waiting()
	inForce := float64(c.inForce)
	wanted := float64(c.target)
	switch {
	case c.settled > 0 && float64(c.requeued) > maxRejectedFraction*float64(c.settled):
		wanted *= rejectedFactor
	case c.requeued > 0 || waiting > max(manyWaiting, inForce/manyWaitingDivisor):
		wanted *= shrinkFactor
	case c.isFullyUsed() && waiting < max(fewWaiting, inForce/fewWaitingDivisor):
		wanted = max(wanted*growFactor, wanted+1)
	}
	c.target = min(max(int(wanted), config.MinCredit), config.MaxCredit)
	c.beginInterval(now)
}

// waiting estimates how many messages wait in the instance instead of being processed. By Little's law that is the part of
// the unsettled messages that corresponds to the processing time beyond the baseline, the time of a message that does not
// wait.
func (c *creditControl) waiting() float64 {
	mean := c.completedSeconds / max(c.completed, 1)
	if c.completed > 0 && (c.minMean == 0 || mean < c.minMean) {
		c.minMean = mean
	}
	baseline := c.minMean
	if c.previousMinMean > 0 && (baseline == 0 || c.previousMinMean < baseline) {
		baseline = c.previousMinMean
	}
	if baseline <= 0 || mean <= baseline {
		return 0
	}
	return float64(c.peak) * (1 - baseline/mean)
}

// isFullyUsed reports whether messages were settled and the credit in force was once exhausted in the interval.
func (c *creditControl) isFullyUsed() bool {
	return c.settled > 0 && c.inForce > 0 && c.peak >= c.inForce
}

// beginInterval resets the counts of the interval, and the baseline after baselinePeriod.
func (c *creditControl) beginInterval(now time.Duration) {
	if now-c.baselineSince >= baselinePeriod {
		c.baselineSince = now
		c.previousMinMean = c.minMean
		c.minMean = 0
	}
	c.adjustedAt = now
	c.peak = c.unsettled
	c.settled = 0
	c.requeued = 0
	c.completed = 0
	c.completedSeconds = 0
}
