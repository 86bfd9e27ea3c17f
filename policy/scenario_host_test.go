package policy_test

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"thymechute/policy"
)

// scenario implements policy.Host for its instance. Each method records its call and schedules the events
// that follow from it.

func (s *scenario) Start(id policy.RequestID) {
	s.record("start", int(id))
	r := s.requests[id]
	r.running = true
	r.startedAt = s.now
	s.running++
	if s.chance(0.02) {
		s.afterUnlessReleased(id, 0, func(r *request) { s.endRun(id, r, policy.NotStarted) })
		return
	}
	s.continueRun(id)
}

func (s *scenario) Stop(id policy.RequestID) {
	s.record("stop", int(id))
	s.afterUnlessReleased(id, s.randomDuration(5*time.Millisecond), func(r *request) {
		if r.running {
			s.endRun(id, r, policy.Cancelled)
		}
	})
}

func (s *scenario) Reject(id policy.RequestID, rejection policy.Rejection) {
	s.record("reject", int(id), rejection.RetryAfter, rejection.NoRetryElsewhere)
}

func (s *scenario) Fail(id policy.RequestID) { s.record("fail", int(id)) }

func (s *scenario) Call(id policy.RequestID, timeout time.Duration) {
	s.record("call", int(id), timeout)
	took := time.Duration(s.slowdown * float64(s.randomDuration(100*time.Millisecond)))
	outcome := policy.OK
	if s.chance(s.callFailureChance) {
		outcome = pick(s, failedCalls...)
	}
	if took > timeout || outcome == policy.TimedOut {
		took = timeout
		outcome = policy.TimedOut
	}
	s.afterUnlessReleased(id, took, func(r *request) {
		r.waitsForCall = outcome != policy.OK
		s.instance.CallReturned(s.now, id, outcome, took)
		if outcome == policy.OK {
			s.continueRun(id)
		}
	})
}

func (s *scenario) SkipCall(id policy.RequestID) {
	s.record("skip call", int(id))
	s.requests[id].waitsForCall = false
	s.continueRun(id)
}

func (s *scenario) RecordKey(id policy.RequestID, lifetime time.Duration) {
	s.record("record key", int(id), lifetime)
}

func (s *scenario) ForgetKey(id policy.RequestID) { s.record("forget key", int(id)) }

func (s *scenario) Coalesce(id policy.RequestID) {
	s.record("coalesce", int(id))
	s.afterUnlessReleased(id, s.randomDuration(300*time.Millisecond), func(*request) {
		s.instance.RunEnded(s.now, id, policy.OK, s.randomDuration(300*time.Millisecond))
	})
}

func (s *scenario) SetHealth(health policy.Health) {
	s.record("health", health.Healthy, health.SkipSelfTest)
}

func (s *scenario) SetIdleTimeout(timeout time.Duration) { s.record("idle timeout", timeout) }

func (s *scenario) Advertise(value float64) { s.record("advertise", value) }

func (s *scenario) Wake(at time.Duration) {
	s.record("wake", at)
	if s.chance(0.005) {
		at += s.randomDuration(400 * time.Millisecond) // simulates a stall of the process
	}
	s.schedule(at, func() {
		gauges := policy.Gauges{Busy: -1, Runnable: -1}
		if !s.chance(0.1) {
			gauges.Busy = s.random.Float64()
			gauges.Runnable = float64(s.running) * 2 * s.random.Float64()
		}
		s.instance.Tick(s.now, gauges)
	})
}

func (s *scenario) Log(message string, fields ...zap.Field) {
	values := zapcore.NewMapObjectEncoder()
	for _, field := range fields {
		field.AddTo(values)
	}
	s.record("log", message, values.Fields)
}

func (s *scenario) Release(id policy.RequestID) {
	s.record("release", int(id))
	if r := s.requests[id]; r.running {
		s.running--
	}
	delete(s.requests, id)
	s.freeIDs = append(s.freeIDs, id)
}
