package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// initialRunFraction is the part of the latency objective that a run is expected to take before any run of
	// the class has ended.
	initialRunFraction = 0.25
	// minInitialRunSeconds bounds the first estimate, in seconds.
	minInitialRunSeconds = 1e-3
	// baseLatencyLearningRuns is the number of first runs that raise or lower the base latency; later runs only lower
	// it.
	baseLatencyLearningRuns = 8
)

// class is a class of requests: its settings, and the estimates from its past runs.
type class struct {
	isFree bool // no class uses the index at present

	weight           float64
	degradedWeight   float64 // part of the weight that an answer without its call is worth; 0: the call is required
	latencyObjective time.Duration
	callerTimeout    time.Duration
	keyWindow        time.Duration
	makesCalls       bool
	isSafe           bool
	isIdempotent     bool // through idempotency keys

	runEstimates
}

// runEstimates are the estimates of a class, in seconds.
type runEstimates struct {
	baseLatency    float64 // the least run time seen, drifting to the recent one
	runTime        float64 // recent run time less calls
	responseTime   float64 // recent run time with calls
	runTimePerHint float64 // run time over the cost hint; 0: unknown
	completedRuns  float64 // runs seen
}

// configure puts the settings in force; the estimates stay.
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

// initialEstimates are the estimates of a class of which no run has ended.
func initialEstimates(latencyObjective time.Duration) runEstimates {
	initialRun := max(latencyObjective.Seconds()*initialRunFraction, minInitialRunSeconds)
	return runEstimates{baseLatency: initialRun, runTime: initialRun, responseTime: initialRun}
}

// canDegrade reports whether an answer without its call has any value.
func (c *class) canDegrade() bool { return c.degradedWeight > 0 }

// expectedRunSeconds returns the expected run time in seconds, without calls. With a cost hint it is the
// geometric mean of the class's run time and the hint's estimate.
func (c *class) expectedRunSeconds(costHint time.Duration) float64 {
	if costHint > 0 && c.runTimePerHint > 0 {
		return math.Sqrt(costHint.Seconds() * c.runTimePerHint * c.runTime)
	}
	return c.runTime
}

// recordCompletedRun updates the estimates with a run that has ended; runSeconds is without calls.
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

// recordTimedOutRun updates the estimates with a run that was answered by an error before its end. The
// complete run would have taken at least elapsedSeconds, so a time below the estimate says nothing.
func (c *class) recordTimedOutRun(elapsedSeconds, callSeconds float64) {
	if elapsedSeconds <= c.responseTime {
		return
	}
	updateAverage(&c.runTime, max(elapsedSeconds-callSeconds, c.runTime), maxAverageSamples)
	updateAverage(&c.responseTime, elapsedSeconds, maxAverageSamples)
}
