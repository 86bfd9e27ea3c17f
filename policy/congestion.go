package policy

import "go.uber.org/zap"

const (
	// congestionFrom is the part of the latency objective from which on a wait to be read is congestion.
	congestionFrom = 0.15
	// congestionFull is the part of the latency objective at which congestion is full: what is left is too
	// short.
	congestionFull = 0.5
	// loggedCongestion is the read congestion from which on it is logged.
	loggedCongestion = 0.5
	// readDelayDecay is what is left of the read delay after a Tick that found a core free to read.
	readDelayDecay = 0.9
)

// readCongestion is how near the wait before reading is to making all answers late and so useless: 0 to 1.
func (inst *Instance) readCongestion() float64 {
	delayPart := inst.readDelay / inst.referenceClass().latencyObjective.Seconds()
	return min(max((delayPart-congestionFrom)/(congestionFull-congestionFrom), 0), 1)
}

// logReadCongestion logs where read congestion begins and ends.
func (inst *Instance) logReadCongestion() {
	isCongested := inst.readCongestion() > loggedCongestion
	if isCongested == inst.isCongestionLogged {
		return
	}
	inst.isCongestionLogged = isCongested
	inst.host.Log("read congestion changed", zap.Bool("congested", isCongested),
		zap.Float64("read_delay_s", inst.readDelay))
}

// observeCores takes the number of threads that want a core. What wants one besides the runs reads requests
// and serves connections.
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
