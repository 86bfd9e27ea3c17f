package policy

import "go.uber.org/zap"

const (
	// congestionStartFraction is the read delay above which there is congestion, as a fraction of the latency
	// objective.
	congestionStartFraction = 0.15
	// congestionFullFraction is the read delay at which congestion is full, as a fraction of the latency
	// objective: too little time is left for the run.
	congestionFullFraction = 0.5
	// minLoggedCongestion is the read congestion above which the server is logged as congested.
	minLoggedCongestion = 0.5
	// readDelayDecay multiplies the average read delay at each tick at which a core is free to read requests.
	readDelayDecay = 0.9
)

// readCongestion returns the read congestion, from 0 (none) to 1 (all answers would be late). It is derived
// from the average read delay.
func (inst *Instance) readCongestion() float64 {
	delayFraction := inst.readDelay / inst.referenceClass().latencyObjective.Seconds()
	return min(max((delayFraction-congestionStartFraction)/
		(congestionFullFraction-congestionStartFraction), 0), 1)
}

// logReadCongestion logs the start and the end of read congestion above minLoggedCongestion.
func (inst *Instance) logReadCongestion() {
	isCongested := inst.readCongestion() > minLoggedCongestion
	if isCongested == inst.lastLoggedCongested {
		return
	}
	inst.lastLoggedCongested = isCongested
	inst.host.Log("read congestion changed", zap.Bool("congested", isCongested),
		zap.Float64("read_delay_s", inst.readDelay))
}

// observeRunnableThreads updates the controls that depend on the number of runnable threads; a negative
// number is unknown. Runnable threads in excess of the running requests read requests and handle connections.
func (inst *Instance) observeRunnableThreads(runnable float64) {
	if runnable < 0 {
		return
	}
	otherThreads := runnable - float64(inst.running)
	inst.idleTimeout.connectionLoadSum += max(otherThreads, 0)
	inst.idleTimeout.gaugeSamples++
	if otherThreads < float64(inst.cores) {
		inst.readDelay *= readDelayDecay // a core is free to read, so nothing waits unread
	}
	if inst.running >= int(inst.concurrency.limit) && len(inst.queue) > 0 {
		inst.concurrency.saturatedTicks++
		inst.concurrency.idleFractionSum += max(1-runnable/float64(inst.cores), 0)
	}
}
