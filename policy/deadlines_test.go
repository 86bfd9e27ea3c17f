package policy

import (
	"strings"
	"testing"

	"thymechute/policy/settings"
)

func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.StopMode = settings.StopOff })
	fillCores(inst, 0, 1)
	inst.CallRequested(10*ms, 1)
	inst.Admit(10*ms, 3, Request{MemoryKB: 1, Original: OriginalGone, Class: 1})
	inst.Tick(2990*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "fail 0")
	host.expectCalls(t, 1, "fail 1")
	host.expectCalls(t, 1, "reject 2")
	host.expectCalls(t, 1, "fail 3")
	inst.Tick(3100*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "fail 0")
}

func TestRequestWithoutValueIsAnsweredAtOnce(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.classes[0].responseTime = 0.5
	inst.classes[0].runTime = 0.5
	// With a latency objective of 1 s, a run of 0.5 s can't succeed from 0.6 s on; the deadline is 3 s.
	fillCores(inst, 0, 1)
	inst.Tick(500*ms, Gauges{Busy: -1})
	host.expectCalls(t, 0, "reject 2")
	inst.Tick(700*ms, Gauges{Busy: -1})
	host.expectCalls(t, 1, "reject 2")
	if strings.Contains(strings.Join(host.calls, "\n"), "after=0s") {
		t.Errorf("rejection without Retry-After: %q", host.calls)
	}
	inst.Tick(980*ms, Gauges{Busy: -1}) // the runs miss the latency objective, two seconds before their deadline
	host.expectCalls(t, 1, "fail 0")
	host.expectCalls(t, 1, "fail 1")
}

func TestAnsweredRunIsStoppedWithStopSuspend(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.StopMode = settings.StopSuspend })
	fillCores(inst, 0, 0)
	inst.Tick(990*ms, Gauges{Busy: -1}) // after the latency objective, before the deadline
	host.expectCalls(t, 1, "fail 0")
	host.expectCalls(t, 1, "stop 0")
}
