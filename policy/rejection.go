package policy

import "time"

const (
	// minRetryAfterSeconds is the least Retry-After.
	minRetryAfterSeconds = 0.05
	// minRetryJitter is the least factor on the expected wait. Retry-After has jitter so that rejected callers
	// don't retry at the same time.
	minRetryJitter = 0.75
	// retryJitterRange is the width of the range of factors above minRetryJitter.
	retryJitterRange = 0.5
	// retryAfterWhileDraining is the Retry-After of a draining server, before the bound of the settings.
	retryAfterWhileDraining = time.Hour
)

// retryTarget says at which servers a retry of a rejected request may succeed.
type retryTarget int

const (
	retryOnAnyServer retryTarget = iota
	retryOnSameServer
)

// reject answers and releases a request that has not run, with advice on when and where to retry.
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

// retryAfter returns the expected time until the present backlog is served, or a longer one under read
// congestion, with jitter and at most MaxRetryAfter. It is 0 if the settings turn Retry-After off.
func (inst *Instance) retryAfter(now time.Duration) time.Duration {
	if inst.server.RetryAfter.Off() {
		return 0
	}
	queueSeconds := float64(max(inst.backlog(), 0)) / inst.concurrency.limit * inst.referenceClass().runTime
	congestedSeconds := inst.readCongestion() * inst.server.MaxRetryAfter.Or(0)
	wait := time.Duration(max(minRetryAfterSeconds+queueSeconds, congestedSeconds) * float64(time.Second))
	if inst.isDrainGraceEnding(now) {
		wait = retryAfterWhileDraining
	}
	jitter := minRetryJitter + retryJitterRange*inst.random.next()
	wait = time.Duration(float64(wait) * jitter)
	return max(min(wait, inst.server.MaxRetryAfter.Seconds(0)), 0)
}
