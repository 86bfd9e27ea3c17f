package policy

import (
	"time"

	"go.uber.org/zap"
)

const (
	// dampeningPeriods is the number of consecutive periods that turn load shedding on or change the health,
	// so that a single burst does neither.
	dampeningPeriods = 2
	// objectivePart is the part of the latency objective, in base latencies, that the lag threshold is made
	// of.
	objectivePart = 0.4
	// minLagThreshold is the least lag threshold, so that short objectives don't shed at the least wait.
	minLagThreshold = 0.5
	// baseLatencyDrift is the part of the way back to the recent latency that a base latency goes in a period.
	baseLatencyDrift = 0.003
)

// lagSampler measures lag: the mean of latency over base latency, less 1, of the requests started in the
// last two periods. Latency is the wait in the queue and the run, without calls.
type lagSampler struct {
	// ratioSums and ratioCounts are of the runs that have ended, by the period of their start: this one, the
	// last.
	ratioSums    [2]float64
	ratioCounts  [2]float64
	current      float64
	threshold    float64
	crossings    int // consecutive samples over the threshold
	nextSampleAt time.Duration
}

// discard forgets the runs that have ended.
func (s *lagSampler) discard() {
	s.ratioSums = [2]float64{}
	s.ratioCounts = [2]float64{}
}

// beginPeriod makes the samples of this period those of the last.
func (s *lagSampler) beginPeriod() {
	s.ratioSums = [2]float64{0, s.ratioSums[0]}
	s.ratioCounts = [2]float64{0, s.ratioCounts[0]}
}

// sampleLatency counts a run that ends, in the period of its start. One that started before the last period
// is left out.
func (inst *Instance) sampleLatency(now time.Duration, req *request) {
	age := int((inst.lag.nextSampleAt - req.startedAt - 1) / period)
	if age < len(inst.lag.ratioSums) {
		inst.lag.ratioSums[age] += inst.latencyRatio(now, req)
		inst.lag.ratioCounts[age]++
	}
}

// latencyRatio is the request's latency so far over its class's base latency; a run counts as at least that
// long.
func (inst *Instance) latencyRatio(now time.Duration, req *request) float64 {
	base := inst.classes[req.Class].baseLatency
	run := now - req.startedAt - req.callTime
	if req.state == awaitingCall || req.state == calling {
		run -= now - req.callRequestedAt
	}
	return (req.queueDelay.Seconds() + max(run.Seconds(), base)) / base
}

// updateLag measures lag, with what still runs counting with its latency so far. What waits in the queue
// for more than a period counts too: valuable requests start at once, and starts alone would hide that the
// others starve.
func (inst *Instance) updateLag(now time.Duration) {
	sum := inst.lag.ratioSums[0] + inst.lag.ratioSums[1]
	count := inst.lag.ratioCounts[0] + inst.lag.ratioCounts[1]
	for id := range inst.requests {
		req := &inst.requests[id]
		if req.isExecuting() && !req.isAnswered && req.startedAt >= now-2*period {
			sum += inst.latencyRatio(now, req)
			count++
		}
		if req.state == queued && now-req.arrivedAt > period {
			sum += 1 + (now-req.arrivedAt).Seconds()/inst.classes[req.Class].baseLatency
			count++
		}
	}
	inst.lag.current = max(sum/max(count, 1)-1, 0)
	inst.lag.beginPeriod()
}

// updateLagThreshold sets the threshold from the mean latency objective of the classes, in base latencies,
// and lets the base latencies drift.
func (inst *Instance) updateLagThreshold() {
	threshold := -1.0
	for n := range inst.classes {
		class := &inst.classes[n]
		if class.isFree {
			continue
		}
		allowedRatio := objectivePart * class.latencyObjective.Seconds() / class.baseLatency
		threshold += allowedRatio / float64(inst.usedClasses)
		class.baseLatency += (class.runTime - class.baseLatency) * baseLatencyDrift
	}
	inst.lag.threshold = max(threshold, minLagThreshold)
}

// updateLoadShedding turns load shedding on after several samples over the threshold in a row, off after
// one under it.
func (inst *Instance) updateLoadShedding() {
	inst.lag.crossings++
	if inst.lag.current <= inst.lag.threshold {
		inst.lag.crossings = 0
	}
	wasShedding := inst.isShedding
	inst.isShedding = inst.lag.crossings >= dampeningPeriods
	if inst.isShedding == wasShedding {
		return
	}
	inst.host.Log("load shedding changed", zap.Bool("shedding", inst.isShedding),
		zap.Float64("lag", inst.lag.current), zap.Float64("lag_threshold", inst.lag.threshold),
		zap.Int("queued", len(inst.queue)), zap.Int("running", inst.running),
		zap.Float64("concurrency_limit", inst.concurrency.limit),
		zap.Float64("advertised_shed", inst.advertised.shedThreshold))
}
