package policy

import (
	"testing"
	"time"

	"thymechute/policy/settings"
)

func TestRequestThatHasRunFailsAndIsNotRejected(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.Admit(0, 0, requestOf(2))
	inst.Dispatch(0)
	inst.CallRequested(0, 0)
	inst.Dispatch(0)
	inst.CallReturned(5*ms, 0, TimedOut, 5*ms)
	host.expectCalls(t, 1, "fail 0")
	host.expectCalls(t, 0, "reject 0")
	inst.Dispatch(5 * ms)
	host.expectCalls(t, 1, "call 0")
}

func TestCallThatNeverRanIsRetried(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.Admit(0, 0, requestOf(2))
	inst.Dispatch(0)
	inst.CallRequested(0, 0)
	inst.Dispatch(0)
	inst.CallReturned(5*ms, 0, Rejected, 5*ms)
	inst.Dispatch(5 * ms)
	host.expectCalls(t, 2, "call 0")
}

func TestCallsStayWithinTheQuotaWithAbandonedOnes(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(1.9) })
	fillCores(inst, 0, 0)
	inst.CallRequested(0, 0)
	inst.CallRequested(0, 1)
	inst.Dispatch(0)
	host.expectCalls(t, 2, "call")
	inst.CallReturned(50*ms, 0, TimedOut, 50*ms)
	inst.Dispatch(60 * ms)
	host.expectCalls(t, 2, "call")
	inst.Tick(260*ms, Gauges{Busy: -1})
	inst.Dispatch(260 * ms)
	host.expectCalls(t, 2, "call")
	inst.Dispatch(500 * ms)
	host.expectCalls(t, 2, "call")
	inst.Dispatch(600 * ms)
	host.expectCalls(t, 3, "call")
}

func TestCallsToATierStayWithinItsConcurrency(t *testing.T) {
	inst, _ := newTestInstance(func(s *settings.Settings) { s.Server.Dependency = settings.DependencyTier })
	if inst.calls.quota != 6 { // three quarters of a concurrency of four per core, on two cores
		t.Errorf("quota of %v concurrent calls, want 6", inst.calls.quota)
	}
}

// A call that is only partly within the quota has a short timeout: when the dependency slows down, every
// server of the fleet may have such a call in flight, and the dependency must sustain all of them.
func TestQuotaBelowOneBoundsCallTimeout(t *testing.T) {
	inst, _ := newTestInstance(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(0.5)
		s.Server.CallQuotaWindow = settings.NumberOf(5)
	})
	fillCores(inst, 0, 0)
	inst.CallRequested(0, 0)
	host := &timeoutRecorder{hostRecorder: &hostRecorder{}}
	inst.host = host
	inst.Dispatch(0)
	// 0.4 of half a call over five seconds, minus CallLinger of 0.2 s
	if host.timeout != 800*ms {
		t.Errorf("call timeout %v, want 800ms", host.timeout)
	}
	callSeconds := 0.0
	end := 5 * time.Second
	for now := time.Duration(0); now < end; now += tickInterval { // every call times out
		if inst.requests[0].state == calling && now >= host.at+host.timeout {
			inst.CallReturned(now, 0, TimedOut, host.timeout)
			inst.CallRequested(now, 0)
		}
		inst.calls.consecutiveFailures = 0
		host.now = now
		inst.Tick(now, Gauges{Busy: -1})
		inst.requests[0].usefulUntil = now + time.Second
		inst.requests[0].deadline = now + time.Second
		inst.Dispatch(now)
		callSeconds += float64(inst.calls.inFlight+len(inst.calls.abandoned)) * tickInterval.Seconds()
	}
	if callSeconds > 2.5 {
		t.Errorf("%.2f call-seconds in a window of 5 s, want at most 2.5", callSeconds)
	}
}

// timeoutRecorder records the time and the timeout of the last call.
type timeoutRecorder struct {
	*hostRecorder
	now     time.Duration
	at      time.Duration
	timeout time.Duration
}

func (r *timeoutRecorder) Call(id RequestID, timeout time.Duration) {
	r.at = r.now
	r.timeout = timeout
}

func TestQuotaBelowOnePausesBetweenCalls(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(0.25) })
	fillCores(inst, 0, 0)
	inst.CallRequested(0, 0)
	inst.CallRequested(0, 1)
	inst.Dispatch(0)
	inst.CallReturned(100*ms, 0, OK, 100*ms)
	inst.Dispatch(780 * ms)
	host.expectCalls(t, 1, "call")
	inst.Dispatch(820 * ms)
	host.expectCalls(t, 2, "call")
	inst.CallReturned(822*ms, 1, OK, 2*ms)
	inst.CallRequested(822*ms, 0)
	inst.Dispatch(840 * ms)
	host.expectCalls(t, 3, "call")
}

func TestCallsAreSuspendedAfterFailuresAndResumeByOneProbe(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.calls.consecutiveFailures = maxConsecutiveCallFailures
	inst.calls.nextProbeAt = 300 * ms
	fillCores(inst, 0, 0)
	inst.CallRequested(0, 0)
	inst.CallRequested(0, 1)
	inst.Dispatch(0)
	host.expectCalls(t, 0, "call")
	inst.Dispatch(300 * ms)
	host.expectCalls(t, 1, "call")
	inst.CallReturned(310*ms, 0, OK, 10*ms)
	inst.Dispatch(310 * ms)
	host.expectCalls(t, 2, "call")
}

func TestSlowOptionalCallsAreSkipped(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Classes[0].DegradedWeight = settings.NumberOf(0.6)
	})
	inst.calls.averageTime = 0.2
	inst.calls.inFlight = 1
	inst.Admit(0, 0, requestOf(0))
	inst.Admit(0, 1, requestOf(1))
	inst.Dispatch(0)
	inst.CallRequested(0, 0)
	inst.CallRequested(0, 1)
	inst.Dispatch(0)
	host.expectCalls(t, 1, "skip call 0")
	host.expectCalls(t, 1, "call 1")
}

func TestLongCallsToTierAreIssuedWithinLatencyObjective(t *testing.T) {
	for averageTime, wantSkips := range map[time.Duration]int{300 * ms: 0, 1200 * ms: 1} {
		inst, host := newTestInstance(func(s *settings.Settings) {
			s.Classes[0].DegradedWeight = settings.NumberOf(0.6)
			s.Server.Dependency = settings.DependencyTier
		}) // a tier has its own overload control, so slow calls do not indicate overload
		inst.calls.averageTime = averageTime.Seconds()
		inst.calls.inFlight = 1
		inst.Admit(0, 0, requestOf(0))
		inst.Dispatch(0)
		inst.CallRequested(0, 0)
		inst.Dispatch(0)
		host.expectCalls(t, wantSkips, "skip call 0") // the latency objective is 1 s
		host.expectCalls(t, 1-wantSkips, "call 0")
	}
}

func TestOptionalCallIsSkippedAfterALongWaitOrAFailure(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Classes[0].DegradedWeight = settings.NumberOf(0.6)
		s.Server.CallQuota = settings.NumberOf(1)
	})
	inst.Admit(0, 0, requestOf(0))
	inst.Admit(0, 1, requestOf(0))
	inst.Dispatch(0)
	inst.CallRequested(0, 0)
	inst.CallRequested(0, 1)
	inst.Dispatch(0)
	host.expectCalls(t, 1, "call") // the quota allows one
	inst.Dispatch(160 * ms)
	host.expectCalls(t, 1, "skip call 1")
	inst.CallReturned(170*ms, 0, TimedOut, 170*ms)
	host.expectCalls(t, 1, "skip call 0") // the call may have run, and is not issued again
	host.expectCalls(t, 0, "fail 0")
}

func TestSlowCallsReduceUsedQuota(t *testing.T) {
	inst, _ := newTestInstance(nil)
	inst.calls.averageTime = 0.2
	inst.endPeriod(periodLength)
	if inst.calls.quotaScale < 0.79 || inst.calls.quotaScale > 0.81 {
		t.Errorf("quota scale %v, want 0.8", inst.calls.quotaScale)
	}
	inst.calls.averageTime = 0.01
	inst.endPeriod(2 * periodLength)
	if inst.calls.quotaScale < 0.89 || inst.calls.quotaScale > 0.91 {
		t.Errorf("quota scale %v, want 0.9", inst.calls.quotaScale)
	}
}

func TestHalfIdleServerStartsRequestsWithCallWhileCallsWait(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(1)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(20)
	})
	inst.calls.inFlight = 1
	inst.concurrency.limit = 9
	for id := range RequestID(5) {
		inst.Admit(0, id, requestOf(0))
		inst.Dispatch(0)
		inst.CallRequested(0, id)
	}
	host.expectCalls(t, 2, "start") // as many requests wait for calls as there are cores
}

func TestRequestWithRequiredCallDoesNotStartWhileCallsWait(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.CallQuota = settings.NumberOf(1) })
	inst.calls.inFlight = 1
	inst.running = 1
	inst.concurrency.limit = 4
	inst.Admit(0, 0, requestOf(0))
	inst.Dispatch(0)
	inst.CallRequested(0, 0)
	inst.Admit(0, 1, requestOf(2))
	inst.Dispatch(140 * ms)
	host.expectCalls(t, 0, "start 1")
	inst.calls.inFlight = 0
	inst.Dispatch(160 * ms)
	host.expectCalls(t, 1, "start 1")
}

func TestRejectedCallsDoNotLowerTheAverageCallTime(t *testing.T) {
	inst, _ := newTestInstance(nil)
	inst.calls.averageTime = 0.1
	fillCores(inst, 0, 0)
	inst.CallRequested(0, 0)
	inst.Dispatch(0)
	inst.CallReturned(ms, 0, Rejected, ms)
	if inst.calls.averageTime != 0.1 {
		t.Errorf("the average call time fell to %v s", inst.calls.averageTime)
	}
}

// A call with a timeout below the average call time gives no information about the dependency. If such calls
// counted as failed probes, calls would stay suspended forever.
func TestCallWithShortTimeoutIsNeitherFailureNorProbe(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(9)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(20)
	})
	inst.concurrency.limit = 9
	inst.calls.averageTime = 0.2
	inst.classes[0].baseLatency = 0.1
	fillCores(inst, 0, 1)
	for id := range RequestID(3) {
		inst.CallRequested(time.Duration(id)*ms, id)
	}
	inst.calls.consecutiveFailures = maxConsecutiveCallFailures
	inst.requests[2].usefulUntil = 990 * ms
	inst.requests[2].arrivedAt = 10 * ms
	inst.Dispatch(700 * ms)
	host.expectCalls(t, 1, "call 2") // the newest, though the others have waited longer
	inst.CallReturned(710*ms, 2, TimedOut, 10*ms)
	calls := &inst.calls
	if calls.consecutiveFailures != maxConsecutiveCallFailures ||
		calls.nextProbeAt != 0 || calls.averageTime != 0.2 {
		t.Errorf("%d consecutive failures, next probe at %v, average call time %v s",
			calls.consecutiveFailures, calls.nextProbeAt, calls.averageTime)
	}
	inst.CallRequested(710*ms, 2)
	inst.Dispatch(711 * ms)
	host.expectCalls(t, 2, "call")
	inst.CallReturned(960*ms, 2, TimedOut, 250*ms)
	if calls.consecutiveFailures != maxConsecutiveCallFailures+1 || calls.averageTime <= 0.2 {
		t.Errorf("%d consecutive failures, average call time %v s", calls.consecutiveFailures, calls.averageTime)
	}
}

func TestCallThatWouldTimeOutIsNotIssued(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Server.CallQuota = settings.NumberOf(9)
		s.Server.MaxConcurrencyPerCore = settings.NumberOf(20)
	})
	inst.concurrency.limit = 9
	inst.calls.averageTime = 0.2
	fillCores(inst, 0, 0)
	inst.CallRequested(800*ms, 0)
	inst.CallRequested(800*ms, 1)
	inst.Dispatch(800 * ms)
	host.expectCalls(t, 1, "call") // one, as none is in flight; 160 ms are left for the other
	inst.calls.averageTime = 0.1
	inst.Dispatch(801 * ms)
	host.expectCalls(t, 2, "call")
}
