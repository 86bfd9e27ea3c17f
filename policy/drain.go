package policy

import (
	"math"
	"time"

	"go.uber.org/zap"
)

// never is a time later than any event.
const never time.Duration = math.MaxInt64

// drainMarginTicks is the margin between the last answer and the stop, in tick intervals, since ticks may be
// late.
const drainMarginTicks = 3

// drainDeadlines are the deadlines of a graceful shutdown. Both are never until it begins.
type drainDeadlines struct {
	acceptUntil time.Duration // requests that arrive later are rejected
	stopAt      time.Duration // all requests must be answered by then
}

// Drain begins a graceful shutdown; the server stops after timeLeft. Requests are still accepted for the
// DrainGrace of the settings, which gives callers time to learn of the shutdown. All accepted requests are
// answered before the stop.
func (inst *Instance) Drain(now, timeLeft time.Duration) {
	inst.drain.stopAt = now + timeLeft - drainMarginTicks*tickInterval - answerMargin
	inst.drain.acceptUntil = now + inst.server.DrainGrace.Seconds(0) - answerMargin
	for id := range inst.requests {
		req := &inst.requests[id]
		req.deadline = min(req.deadline, inst.drain.stopAt)
		req.usefulUntil = min(req.usefulUntil, inst.drain.stopAt)
	}
	inst.host.SetHealth(Health{Healthy: false, SkipSelfTest: true})
	inst.host.Log("draining", zap.Int("queued", len(inst.queue)), zap.Int("running", inst.running),
		zap.Duration("time_left", timeLeft))
}

func (inst *Instance) isDraining() bool { return inst.drain.acceptUntil != never }

// isDrainGraceEnding reports whether the grace period of a graceful shutdown ends within one period or is
// over.
func (inst *Instance) isDrainGraceEnding(now time.Duration) bool {
	return now > inst.drain.acceptUntil-periodLength
}
