package policy

import "time"

// periodLength is the time between two samples of lag. Controls that change slowly are updated at its end.
const periodLength = 500 * time.Millisecond

// sharePastSamples is the number of past samples that the averages of the rejected and the retry share stand for.
const sharePastSamples = 3

// periodCounters count the events of a period.
type periodCounters struct {
	callers               map[int]bool // callers of requests read
	read                  int
	retries               int // requests read that are marked as retries
	rejected              int
	rejectedOverThreshold int // those of at least the advertised priority threshold
	completed             int // runs that ended with OK
	backlogTicks          int // ticks with a backlog
}

// reset sets all counters to 0; it reuses the map.
func (c *periodCounters) reset() {
	clear(c.callers)
	*c = periodCounters{callers: c.callers}
}

// endPeriod measures lag and updates the controls that depend on it or on the period's counters. The order
// matters: later controls use the results of earlier ones.
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

// updateShares updates the averages of the shares of the requests read that are retries and that are
// rejected.
func (inst *Instance) updateShares() {
	counts := &inst.period
	if counts.read == 0 {
		return
	}
	retryShare := float64(counts.retries) / float64(counts.read)
	updateAverage(&inst.retryShare, retryShare, sharePastSamples)
	rejectedShare := float64(counts.rejected) / float64(max(counts.read, counts.rejected))
	updateAverage(&inst.rejectedShare, rejectedShare, sharePastSamples)
}
