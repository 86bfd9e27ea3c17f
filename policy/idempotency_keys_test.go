package policy

import (
	"testing"

	"thymechute/policy/settings"
)

func TestKeyIsRecordedBeforeTheStart(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.Admit(0, 0, requestOf(1))
	inst.Dispatch(0)
	if len(host.calls) < 3 || host.calls[1] != "record key 0 for 10.08s" || host.calls[2] != "start 0" {
		t.Errorf("host calls %q, want the key to be recorded before the start", host.calls)
	}
}

func TestRetryOfARunIsCoalescedAndNeverStarted(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.Admit(0, 0, requestOf(1))
	inst.Dispatch(0)
	inst.Admit(0, 1, Request{Class: 1, MemoryKB: 10, Original: 0})
	inst.Admit(0, 2, Request{Class: 1, MemoryKB: 10, Original: OriginalGone})
	inst.Dispatch(0)
	host.expectCalls(t, 1, "coalesce 1")
	host.expectCalls(t, 1, "coalesce 2")
	host.expectCalls(t, 1, "start 0")
	host.expectCalls(t, 0, "start 1")
}

func TestKeyOfNeverStartedRequestIsForgotten(t *testing.T) {
	for outcome, forgotten := range map[Outcome]int{NotStarted: 1, Failed: 0} {
		inst, host := newTestInstance(nil)
		inst.Admit(0, 0, requestOf(1))
		inst.Dispatch(0)
		inst.RunEnded(0, 0, outcome, 0)
		host.expectCalls(t, forgotten, "forget key 0")
		if len(inst.keyExpiries) != 1-forgotten {
			t.Errorf("outcome %d left %d key entries", outcome, len(inst.keyExpiries))
		}
		// A request that was never started is not a sample of lag.
		if counted := inst.lag.ratioCounts[0] > 0; counted != (outcome != NotStarted) {
			t.Errorf("outcome %d counts in lag: %v", outcome, counted)
		}
	}
}

func TestRetryOfAQueuedRequestReplacesIt(t *testing.T) {
	inst, host := newTestInstance(nil)
	fillCores(inst, 1, 1)
	inst.Admit(0, 9, Request{Class: 1, MemoryKB: 10, Original: 2})
	host.expectCalls(t, 1, "reject 2")
	host.expectCalls(t, 0, "forget key 2")
	host.expectCalls(t, 1, "record key 9")
	if len(inst.keyExpiries) != 3 {
		t.Errorf("%d key entries, want 3", len(inst.keyExpiries))
	}
}

func TestRequestIsNotStartedIfItsKeyEntryDoesNotFit(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.MemoryKB = settings.NumberOf(30) })
	inst.Admit(0, 0, requestOf(1))
	host.expectCalls(t, 1, "reject 0")
	host.expectCalls(t, 0, "record key 0")
}

func TestCoalescedRetriesDoNotFillTheMemory(t *testing.T) {
	inst, host := newTestInstance(nil)
	inst.memory.usedKB = 949
	inst.Admit(0, 0, Request{Class: 1, MemoryKB: 10, Original: OriginalGone})
	host.expectCalls(t, 0, "coalesce 0")
	host.expectCalls(t, 0, "reject 0")
	host.expectCalls(t, 1, "fail 0")
}
