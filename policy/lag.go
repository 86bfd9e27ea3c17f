package policy

import (
	"time"

	"go.uber.org/zap"
)

const (
	// dampeningPeriods is the number of consecutive periods after which load shedding starts or the health
	// changes, so that a single burst causes neither.
	dampeningPeriods = 2
	// lagObjectiveFraction is the latency that the lag threshold allows, as a fraction of the latency objective.
	lagObjectiveFraction = 0.4
	// minLagThreshold is the minimum lag threshold. It prevents short latency objectives from making every wait
	// trigger load shedding.
	minLagThreshold = 0.5
	// baseLatencyDrift is the fraction of the difference to the average run time by which a base latency moves
	// per period.
	baseLatencyDrift = 0.003
)

// lagSampler measures lag: the mean ratio of latency to base latency, minus 1, of the requests started in the
// last two periods. Latency is the queue time plus the run time without calls.
type lagSampler struct {
	// ratioSums and ratioCounts cover the runs that have ended: those started in the current period at index
	// 0, those started in the previous period at index 1.
	ratioSums            [2]float64
	ratioCounts          [2]float64
	current              float64 // most recent lag; 0: no delay
	threshold            float64 // lag above which load is shed
	samplesOverThreshold int     // number of consecutive samples over the threshold
	nextSampleAt         time.Duration
}

// discard removes all samples.
func (s *lagSampler) discard() {
	s.ratioSums = [2]float64{}
	s.ratioCounts = [2]float64{}
}

// beginPeriod starts a period: the samples of the current period become those of the previous one.
func (s *lagSampler) beginPeriod() {
	s.ratioSums = [2]float64{0, s.ratioSums[0]}
	s.ratioCounts = [2]float64{0, s.ratioCounts[0]}
}

// sampleLatency adds the latency of a run that ends to the samples of the period in which it started. Runs
// started before the previous period are ignored.
func (inst *Instance) sampleLatency(now time.Duration, req *request) {
	age := int((inst.lag.nextSampleAt - req.startedAt - 1) / periodLength)
	if age < len(inst.lag.ratioSums) {
		inst.lag.ratioSums[age] += inst.latencyRatio(now, req)
		inst.lag.ratioCounts[age]++
	}
}

// latencyRatio returns the ratio of the request's latency so far to the base latency of its class. A run
// shorter than the base latency counts as that long.
func (inst *Instance) latencyRatio(now time.Duration, req *request) float64 {
	base := inst.classes[req.Class].baseLatency
	run := now - req.startedAt - req.callTime
	if req.state == awaitingCall || req.state == calling {
		run -= now - req.callRequestedAt
	}
	return (req.queueDelay.Seconds() + max(run.Seconds(), base)) / base
}

// updateLag measures lag. Runs that have not ended count with their latency so far. Requests queued for
// longer than a period count too: requests with a high value density start at once, so the started requests
// alone would not show that the others starve.
func (inst *Instance) updateLag(now time.Duration) {
	sum := inst.lag.ratioSums[0] + inst.lag.ratioSums[1]
	count := inst.lag.ratioCounts[0] + inst.lag.ratioCounts[1]
	for id := range inst.requests {
		req := &inst.requests[id]
		if req.isExecuting() && !req.isAnswered && req.startedAt >= now-2*periodLength {
			sum += inst.latencyRatio(now, req)
			count++
		}
		if req.state == queued && now-req.arrivedAt > periodLength {
			sum += 1 + (now-req.arrivedAt).Seconds()/inst.classes[req.Class].baseLatency
			count++
		}
	}
	inst.lag.current = max(sum/max(count, 1)-1, 0)
	inst.lag.beginPeriod()
}

// updateLagThreshold sets the threshold to the allowed ratio of latency to base latency, averaged over the
// classes, minus 1. It also moves the base latencies toward the average run times.
func (inst *Instance) updateLagThreshold() {
	threshold := -1.0
	for index := range inst.classes {
		class := &inst.classes[index]
		if class.isFree {
			continue
		}
		allowedRatio := lagObjectiveFraction * class.latencyObjective.Seconds() / class.baseLatency
		threshold += allowedRatio / float64(inst.usedClasses)
		class.baseLatency += (class.runTime - class.baseLatency) * baseLatencyDrift
	}
	inst.lag.threshold = max(threshold, minLagThreshold)
}

// updateLoadShedding starts load shedding after dampeningPeriods consecutive samples over the threshold, and
// ends it at the first sample that is not over it.
func (inst *Instance) updateLoadShedding() {
	inst.lag.samplesOverThreshold++
	if inst.lag.current <= inst.lag.threshold {
		inst.lag.samplesOverThreshold = 0
	}
	wasShedding := inst.isShedding
	inst.isShedding = inst.lag.samplesOverThreshold >= dampeningPeriods
	if inst.isShedding == wasShedding {
		return
	}
	inst.host.Log("load shedding changed", zap.Bool("shedding", inst.isShedding),
		zap.Float64("lag", inst.lag.current), zap.Float64("lag_threshold", inst.lag.threshold),
		zap.Int("queued", len(inst.queue)), zap.Int("running", inst.running),
		zap.Float64("concurrency_limit", inst.concurrency.limit),
		zap.Float64("advertised_shed", inst.advertised.shedThreshold))
}
