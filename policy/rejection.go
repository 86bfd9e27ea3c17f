package policy

import "time"

const (
	// minRetryAfterSeconds is the least Retry-After.
	minRetryAfterSeconds = 0.05
	// minRetryJitter is the least factor on the expected wait; Retry-After is spread so that rejected callers
	// don't come back together.
	minRetryJitter = 0.75
	// retryJitterRange is the width of the range of factors above minRetryJitter.
	retryJitterRange = 0.5
	// retryAfterDrain is the wait advised by a server that will stop; the setting's maximum bounds it.
	retryAfterDrain = time.Hour
)

// retryTarget is where a retry of a rejected request may be of use.
type retryTarget int

const (
	retryOnAnyServer retryTarget = iota
	retryOnSameServer
)

// reject ends a request that has not run, at once, with advice on when and where to retry.
func (inst *Instance) reject(now time.Duration, id RequestID, target retryTarget) {
	req := &inst.requests[id]
	retryAfter := inst.retryAfter(now)
	inst.period.rejected++
	if req.Priority >= inst.advertised.shedThreshold {
		inst.period.rejectedOverThreshold++
	}
	inst.host.Reject(id, Rejection{RetryAfter: retryAfter, NoRetryElsewhere: target == retryOnSameServer})
	inst.release(id)
}

// retryAfter is the time until the queue of now is served, or longer under read congestion, within the
// setting's maximum and with jitter; 0 where the setting turns it off.
func (inst *Instance) retryAfter(now time.Duration) time.Duration {
	if inst.server.RetryAfter.Off() {
		return 0
	}
	queueSeconds := float64(max(inst.backlog(), 0)) / inst.concurrency.limit * inst.referenceClass().runTime
	congestedSeconds := inst.readCongestion() * inst.server.MaxRetryAfter.Or(0)
	wait := time.Duration(max(minRetryAfterSeconds+queueSeconds, congestedSeconds) * 1e9)
	if inst.isDrainGraceEnding(now) {
		wait = retryAfterDrain
	}
	jitter := minRetryJitter + retryJitterRange*inst.random.next()
	wait = time.Duration(float64(wait) * jitter)
	return max(min(wait, inst.server.MaxRetryAfter.Seconds(0)), 0)
}
