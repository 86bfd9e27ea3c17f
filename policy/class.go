package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
)

const (
	// firstEstimatePart is the part of the latency objective that a run is expected to take until some have
	// ended.
	firstEstimatePart = 0.25
	// minFirstEstimate bounds the first estimate, in seconds.
	minFirstEstimate = 1e-3
	// baseLearningRuns is the number of runs whose time sets the base latency, also upward.
	baseLearningRuns = 8
)

// class is a class of requests: its settings, and what has been learned of its runs.
type class struct {
	isFree bool // the index belongs to no class and may be used again

	weight           float64
	degradedWeight   float64 // the part of the weight paid for an answer without its call; 0: it needs the call
	latencyObjective time.Duration
	callerTimeout    time.Duration
	keyWindow        time.Duration
	makesCalls       bool
	isSafe           bool
	isIdempotent     bool // by an idempotency key

	runLatencies
}

// runLatencies are the estimates of a class, in seconds.
type runLatencies struct {
	baseLatency  float64 // the least run time seen, drifting to the recent one
	runTime      float64 // recent run time less calls
	responseTime float64 // recent run time with calls
	workPerHint  float64 // run time over the cost hint; 0: unknown
	completed    float64 // runs seen
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

// initialLatencies are the estimates of a class of which no run has ended.
func initialLatencies(latencyObjective time.Duration) runLatencies {
	first := max(latencyObjective.Seconds()*firstEstimatePart, minFirstEstimate)
	return runLatencies{baseLatency: first, runTime: first, responseTime: first}
}

// canDegrade reports whether an answer without its call is of any value.
func (c *class) canDegrade() bool { return c.degradedWeight > 0 }

// expectedRun is the expected run time in seconds, without calls: the geometric mean of the class's own and
// of what the cost hint says, where there is one.
func (c *class) expectedRun(costHint time.Duration) float64 {
	if costHint > 0 && c.workPerHint > 0 {
		return math.Sqrt(costHint.Seconds() * c.workPerHint * c.runTime)
	}
	return c.runTime
}

// learnCompleted updates the estimates by a run that has ended; run is in seconds, without calls.
func (c *class) learnCompleted(run float64, responseTime, costHint time.Duration) {
	updateAverage(&c.runTime, run, c.completed+3)
	updateAverage(&c.responseTime, responseTime.Seconds(), c.completed+3)
	if costHint > 0 {
		updateAverage(&c.workPerHint, run/costHint.Seconds(), c.completed)
	}
	c.completed++
	if c.completed <= baseLearningRuns || c.runTime < c.baseLatency {
		c.baseLatency = c.runTime
	}
}

// learnCutOff updates the estimates by a run that was given up after so many seconds, where it took longer
// than runs are known to take: it would have taken at least so long.
func (c *class) learnCutOff(took, callTime float64) {
	if took > c.responseTime {
		updateAverage(&c.runTime, max(took-callTime, c.runTime), maxAverageWindow)
		updateAverage(&c.responseTime, took, maxAverageWindow)
	}
}
