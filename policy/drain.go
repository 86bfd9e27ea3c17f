package policy

import (
	"math"
	"time"

	"go.uber.org/zap"
)

// never is a time that does not come.
const never time.Duration = math.MaxInt64

// drainTicks is the number of Ticks before the stop after which all must be answered, as a Tick may be
// late.
const drainTicks = 3

// drainDeadlines are the times of a graceful shutdown; never before it begins.
type drainDeadlines struct {
	acceptUntil time.Duration // requests that arrive later are rejected
	stopAt      time.Duration // all must be answered
}

// Drain begins a graceful shutdown: this server stops after timeLeft. Requests are accepted for the
// settings' grace time, until callers know; all that were accepted are answered before the stop.
func (inst *Instance) Drain(now, timeLeft time.Duration) {
	inst.drain.stopAt = now + timeLeft - drainTicks*tickInterval - answerMargin
	inst.drain.acceptUntil = now + inst.server.DrainGrace.Seconds(0) - answerMargin
	for id := range inst.requests {
		req := &inst.requests[id]
		req.deadline = min(req.deadline, inst.drain.stopAt)
		req.usefulUntil = min(req.usefulUntil, inst.drain.stopAt)
	}
	inst.host.SetHealth(Health{Healthy: false, Cached: true})
	inst.host.Log("draining", zap.Int("queued", len(inst.queue)), zap.Int("running", inst.running),
		zap.Duration("time_left", timeLeft))
}

func (inst *Instance) isDraining() bool { return inst.drain.acceptUntil != never }

// isDrainGraceEnding reports whether requests are accepted for less than a period more, or no longer.
func (inst *Instance) isDrainGraceEnding(now time.Duration) bool {
	return now > inst.drain.acceptUntil-period
}
