package policy

import "time"

const (
	// minRetryAfterSeconds is the minimum Retry-After before jitter.
	minRetryAfterSeconds = 0.05
	// minRetryJitter is the minimum jitter factor on Retry-After. Jitter keeps rejected callers from retrying
	// at the same time.
	minRetryJitter = 0.75
	// retryJitterRange is the width of the range of jitter factors above minRetryJitter.
	retryJitterRange = 0.5
	// retryAfterWhileDraining is the Retry-After of a draining server before it is limited to MaxRetryAfter.
	retryAfterWhileDraining = time.Hour
)

// retryTarget is the advice on where to retry a rejected request.
type retryTarget int

const (
	retryOnAnyServer retryTarget = iota
	retryOnSameServer
)

// reject rejects and releases a request that has not run. The answer advises when and where to retry.
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

// retryAfter returns the expected time until the current backlog is served, or a longer time under read
// congestion, with jitter and at most MaxRetryAfter. It is 0 if the settings disable Retry-After.
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
