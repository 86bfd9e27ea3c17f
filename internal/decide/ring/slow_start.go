package ring

import "time"

// SlowStart configures how a backend that joins warms up. Fractions are of its full weight.
type SlowStart struct {
	InitialFraction float64       // when it joins; greater than 0, at most 1
	Increment       float64       // added each StepInterval while the backend is not overloaded; greater than 0
	BackoffFactor   float64       // multiplies the fraction when the backend is overloaded; 0 to 1
	StepInterval    time.Duration // between steps, doubled after a backoff; greater than 0
	MaxLatency      time.Duration // the backend counts as overloaded if the latency of its calls exceeds this
	MaxErrorRate    float64       // the backend counts as overloaded if a larger fraction of its calls fails
}

// Validate returns a *ValueError if a field is out of range.
func (s SlowStart) Validate() error {
	return firstInvalid([]rangeCheck{
		{s.InitialFraction > 0 && s.InitialFraction <= 1, "slow start initial fraction", s.InitialFraction, "greater than 0 and at most 1"},
		{s.Increment > 0, "slow start increment", s.Increment, "greater than 0"},
		{s.BackoffFactor >= 0 && s.BackoffFactor <= 1, "slow start backoff factor", s.BackoffFactor, "0 to 1"},
		{s.StepInterval > 0, "slow start step interval", s.StepInterval, "greater than 0"},
	})
}

// SlowStartProgress is how far one backend has warmed up. The zero value is a slow start that has not begun.
type SlowStartProgress struct {
	fraction  float64       // of the full weight
	nextStep  time.Duration // when the fraction may change next
	isStarted bool
}

// Advance returns the fraction of its full weight that the backend may have now, given the latency and the error rate of
// its calls since the last step.
func (p *SlowStartProgress) Advance(now time.Duration, s SlowStart, latency time.Duration, errorRate float64) float64 {
	switch {
	case !p.isStarted:
		p.isStarted = true
		p.fraction = s.InitialFraction
		p.nextStep = now + s.StepInterval
	case now < p.nextStep || p.fraction >= 1:
	case latency > s.MaxLatency || errorRate > s.MaxErrorRate:
		p.fraction = max(p.fraction*s.BackoffFactor, s.InitialFraction)
		p.nextStep = now + 2*s.StepInterval
	default:
		p.fraction = min(p.fraction+s.Increment, 1)
		p.nextStep = now + s.StepInterval
	}
	return p.fraction
}

// ResumeSlowStart returns the progress of a backend that a previous leader has brought to this fraction of its weight.
func ResumeSlowStart(now time.Duration, s SlowStart, fraction float64) SlowStartProgress {
	return SlowStartProgress{isStarted: true, fraction: min(max(fraction, s.InitialFraction), 1), nextStep: now + s.StepInterval}
}

// CompletedSlowStart returns the progress of a backend that has its full weight.
func CompletedSlowStart() SlowStartProgress { return SlowStartProgress{fraction: 1, isStarted: true} }

// Restart makes the backend start again from the initial fraction, as after a long outage.
func (p *SlowStartProgress) Restart() { *p = SlowStartProgress{} }
