package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// initialRunFraction is the estimated run time of a class of which no run has ended yet, as a fraction of
	// the latency objective.
	initialRunFraction = 0.25
	// minInitialRunSeconds is the minimum of this first estimate, in seconds.
	minInitialRunSeconds = 1e-3
	// baseLatencyLearningRuns is the number of first runs that may raise or lower the base latency. Later runs
	// only lower it.
	baseLatencyLearningRuns = 8
)

// class is a class of requests: its settings and the estimates from its past runs.
type class struct {
	isFree bool // the index is not in use by any class

	weight           float64
	degradedWeight   float64 // weight of an answer without its call, as a fraction of weight; 0: call required
	latencyObjective time.Duration
	callerTimeout    time.Duration
	keyWindow        time.Duration
	makesCalls       bool
	isSafe           bool
	isIdempotent     bool // idempotency keys prevent a second run

	runEstimates
}

// runEstimates are the run time estimates of a class; times are in seconds.
type runEstimates struct {
	baseLatency    float64 // shortest average run time so far, drifting toward the current one
	runTime        float64 // moving average of run time without calls
	responseTime   float64 // moving average of run time with calls
	runTimePerHint float64 // ratio of run time to cost hint; 0: unknown
	completedRuns  float64 // number of completed runs
}

// configure applies the settings; the estimates are retained.
func (c *class) configure(s settings.Class) {
	c.isSafe = s.Idempotency == settings.Safe
	c.isIdempotent = s.Idempotency == settings.Idempotent
	c.makesCalls = s.MakesCalls.On()
	c.weight = s.Weight.Or(1)
	c.degradedWeight = s.DegradedWeight.Or(0)
	c.latencyObjective = s.LatencyObjective.Seconds(1)
	c.callerTimeout = s.CallerTimeout.Seconds(2)
	c.keyWindow = s.KeyWindow.Seconds(10)
}

// initialEstimates returns the estimates of a class of which no run has ended yet.
func initialEstimates(latencyObjective time.Duration) runEstimates {
	initialRun := max(latencyObjective.Seconds()*initialRunFraction, minInitialRunSeconds)
	return runEstimates{baseLatency: initialRun, runTime: initialRun, responseTime: initialRun}
}

// canDegrade reports whether an answer without its call has any value.
func (c *class) canDegrade() bool { return c.degradedWeight > 0 }

// expectedRunSeconds returns the expected run time in seconds, without calls. With a cost hint it is the
// geometric mean of the average run time of the class and the estimate from the hint.
func (c *class) expectedRunSeconds(costHint time.Duration) float64 {
	if costHint > 0 && c.runTimePerHint > 0 {
		return math.Sqrt(costHint.Seconds() * c.runTimePerHint * c.runTime)
	}
	return c.runTime
}

// recordCompletedRun updates the estimates with a completed run. runSeconds excludes calls, responseTime
// includes them.
func (c *class) recordCompletedRun(runSeconds float64, responseTime, costHint time.Duration) {
	updateAverage(&c.runTime, runSeconds, c.completedRuns+3)
	updateAverage(&c.responseTime, responseTime.Seconds(), c.completedRuns+3)
	if costHint > 0 {
		updateAverage(&c.runTimePerHint, runSeconds/costHint.Seconds(), c.completedRuns)
	}
	c.completedRuns++
	if c.completedRuns <= baseLatencyLearningRuns || c.runTime < c.baseLatency {
		c.baseLatency = c.runTime
	}
}

// recordTimedOutRun updates the estimates with a run that was answered with an error before its end. The
// complete run would have taken at least elapsedSeconds, so a time below the estimate gives no information.
func (c *class) recordTimedOutRun(elapsedSeconds, callSeconds float64) {
	if elapsedSeconds <= c.responseTime {
		return
	}
	updateAverage(&c.runTime, max(elapsedSeconds-callSeconds, c.runTime), maxAverageSamples)
	updateAverage(&c.responseTime, elapsedSeconds, maxAverageSamples)
}
