package policy

import "time"

// periodLength is the time between two samples of lag. Slowly changing controls are updated once per period.
const periodLength = 500 * time.Millisecond

// pastSamplesOfShares gives each new period a weight of 1/4 in the average rejected share and the average
// retry share.
const pastSamplesOfShares = 3

// maxTrackedCallers bounds the callers that are told apart in a period. An instance has fewer connections, so
// only a caller that uses more than one number reaches it.
const maxTrackedCallers = 4096

// periodCounters counts the events of the current period.
type periodCounters struct {
	callers               map[int]bool // callers of the requests read; at most maxTrackedCallers
	read                  int          // requests read
	retries               int          // requests read that are marked as retries
	rejected              int          // requests rejected
	rejectedOverThreshold int          // rejected requests with a priority of at least the shed threshold
	completed             int          // runs that ended with OK
	backlogTicks          int          // ticks with a backlog
}

// reset sets all counters to 0. It reuses the map.
func (c *periodCounters) reset() {
	clear(c.callers)
	*c = periodCounters{callers: c.callers}
}

// countCaller counts the caller of a request that was read.
func (c *periodCounters) countCaller(caller int) {
	if len(c.callers) < maxTrackedCallers {
		c.callers[caller] = true
	}
}

// endPeriod measures lag, and updates the controls that depend on lag or on the counters of the period. The
// order matters: later updates use the results of earlier ones.
func (inst *Instance) endPeriod(now time.Duration) {
	inst.updateLag(now)
	inst.updateLagThreshold()
	inst.updateLoadShedding()
	inst.updateShedThreshold()
	inst.updateHealth()
	inst.updateIdleTimeout()
	inst.updateQuotaScale()
	inst.updateConcurrencyLimit(now)
	inst.updateShares()
	inst.period.reset()
}

// updateShares updates the average shares of retries and of rejected requests among the requests read.
func (inst *Instance) updateShares() {
	counts := &inst.period
	if counts.read == 0 {
		return
	}
	retryShare := float64(counts.retries) / float64(counts.read)
	updateAverage(&inst.retryShare, retryShare, pastSamplesOfShares)
	rejectedShare := float64(counts.rejected) / float64(max(counts.read, counts.rejected))
	updateAverage(&inst.rejectedShare, rejectedShare, pastSamplesOfShares)
}
