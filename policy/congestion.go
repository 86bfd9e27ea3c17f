package policy

import "go.uber.org/zap"

const (
	// congestionStartPart is the read delay above which there is congestion, as a part of the latency
	// objective.
	congestionStartPart = 0.15
	// congestionFullPart is the read delay at which congestion is full, as a part of the latency objective:
	// too little time is left for the run.
	congestionFullPart = 0.5
	// minLoggedCongestion is the read congestion above which it is logged.
	minLoggedCongestion = 0.5
	// readDelayDecay is the factor on the average read delay at a tick that finds a core free for reading.
	readDelayDecay = 0.9
)

// readCongestion rates the average read delay from 0 (no congestion) to 1 (all answers would be late).
func (inst *Instance) readCongestion() float64 {
	delayPart := inst.readDelay / inst.referenceClass().latencyObjective.Seconds()
	return min(max((delayPart-congestionStartPart)/(congestionFullPart-congestionStartPart), 0), 1)
}

// logReadCongestion logs the start and the end of read congestion.
func (inst *Instance) logReadCongestion() {
	isCongested := inst.readCongestion() > minLoggedCongestion
	if isCongested == inst.isCongestionLogged {
		return
	}
	inst.isCongestionLogged = isCongested
	inst.host.Log("read congestion changed", zap.Bool("congested", isCongested),
		zap.Float64("read_delay_s", inst.readDelay))
}

// observeCores updates the controls that depend on the number of runnable threads; a negative one is
// unknown. Runnable threads beyond the runs read requests and serve connections.
func (inst *Instance) observeCores(runnable float64) {
	if runnable < 0 {
		return
	}
	besideRuns := runnable - float64(inst.running)
	inst.idleTimeout.connectionLoad += max(besideRuns, 0)
	inst.idleTimeout.samples++
	if besideRuns < float64(inst.cores) {
		inst.readDelay *= readDelayDecay // a core is free to read, so nothing waits unread
	}
	if inst.running >= int(inst.concurrency.limit) && len(inst.queue) > 0 {
		inst.concurrency.saturatedSamples++
		inst.concurrency.idleCoreSum += max(1-runnable/float64(inst.cores), 0)
	}
}
