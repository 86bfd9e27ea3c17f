package policy

import "time"

// period is the time between two samples of lag, at whose end all slow controls move.
const period = 500 * ms

// sharesSamples is the weight of the past in the averages of the shares rejected and of retries.
const sharesSamples = 3

// periodCounters count what happens in a period.
type periodCounters struct {
	callers               map[int]bool // callers of requests read
	read                  int
	retries               int // requests read that are marked as retries
	rejected              int
	rejectedOverThreshold int // those that callers heeding the advertised threshold would have sent
	completed             int // runs that ended well
	backlogTicks          int // Ticks that found requests waiting for a start
}

// reset begins the next period.
func (c *periodCounters) reset() {
	clear(c.callers)
	*c = periodCounters{callers: c.callers}
}

// endPeriod takes the sample of lag, and moves what follows it or the counts of the period.
func (inst *Instance) endPeriod(now time.Duration) {
	inst.updateLag(now)
	inst.updateLagThreshold()
	inst.updateLoadShedding()
	inst.updateShedThreshold()
	inst.updateHealth()
	inst.updateIdleTimeout()
	inst.updateQuotaFraction()
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
	updateAverage(&inst.retryShare, retryShare, sharesSamples)
	rejectedShare := float64(counts.rejected) / float64(max(counts.read, counts.rejected))
	updateAverage(&inst.rejectedShare, rejectedShare, sharesSamples)
}
