package node

import (
	"errors"
	"testing"
	"time"

	"thymechute/policy"
)

// The runtime rounds its age to milliseconds, so a difference of that size is not taken for a restart.
func TestRuntimeOfSlightlyLowerAgeIsNoRestart(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "a", "safe", "", 0)
	n.RuntimeReady(RuntimeState{Reused: true, Age: time.Since(n.runtimeProcess.startedAt) - 2*time.Millisecond, RequestedAt: time.Now()})
	n.Tick()
	rec.expect(t, 0, "answer")
	n.runtimeProcess.startedAt = n.runtimeProcess.startedAt.Add(-time.Second)
	n.RuntimeReady(RuntimeState{Reused: true, RequestedAt: time.Now()})
	n.Tick()
	rec.expect(t, 1, "answer a 2")
}

func TestCommandsAreRepeatedOnceTheLinkIsUp(t *testing.T) {
	n, rec := newReadyInstance(nil)
	rec.down = true
	n.admitRequest(rec, "a", "unsafe", "", 0)
	n.admitRequest(rec, "b", "unsafe", "", 0)
	rec.expect(t, 0, "start")
	n.Fail(n.byTaskID["b"]) // answered before its start, so that it does not have to run
	rec.down = false
	n.RuntimeResynced()
	n.Tick()
	rec.expect(t, 1, "start a unsafe x")
	rec.expect(t, 0, "start b")
	n.CallRequested("a", []byte("call"))
	n.Tick()
	rec.expect(t, 1, "call a call")
	rec.down = true
	n.CallReturned("a", CallResult{Outcome: policy.OK, Reply: []byte("reply")})
	n.Tick()
	rec.down = false
	n.RuntimeResynced()
	n.RuntimeResynced()
	n.Tick()
	rec.expect(t, 1, "start a")
	rec.expect(t, 1, "deliver a reply")
}

// A delay between the runtime's answer and its reading must not be taken for a later start of the runtime.
func TestRuntimeStateReadLateIsNoRestart(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "a", "safe", "", 0)
	n.runtimeProcess.startedAt = n.runtimeProcess.startedAt.Add(-5 * time.Second)
	n.RuntimeReady(RuntimeState{Age: 3 * time.Second, RequestedAt: time.Now().Add(-3 * time.Second)})
	n.Tick()
	rec.expect(t, 0, "answer a")
	n.RuntimeReady(RuntimeState{Age: 3 * time.Second, RequestedAt: time.Now()})
	n.Tick()
	rec.expect(t, 1, "answer a 2")
}

func TestGoneCallersAreNotAnswered(t *testing.T) {
	n, rec := newReadyInstance(nil)
	other := &recorder{}
	for _, id := range []TaskID{"a", "b", "c"} {
		n.admitRequest(other, id, "unsafe", "", 0)
	}
	n.CallerGone(other)
	n.Tick()
	n.RunEnded("a", RunResult{Outcome: policy.OK})
	n.admitRequest(rec, "d", "unsafe", "", 0)
	rec.expect(t, 1, "start d") // instead of c, which was still queued
	rec.expect(t, 0, "start c")
	if len(other.lines) != 0 {
		t.Errorf("the gone caller got %q", other.lines)
	}
}

func TestExpiredCallerTimeoutIsNotTakenForNone(t *testing.T) {
	n, rec := newReadyInstance(nil)
	for id, timeout := range map[TaskID]time.Duration{"a": time.Millisecond, "b": time.Minute} {
		if err := n.Admit(rec, MessageID(id), Request{
			ID:            id,
			Class:         "safe",
			MemoryKB:      1,
			ReceivedAt:    time.Now().Add(-10 * time.Millisecond),
			CallerTimeout: timeout,
		}); err != nil {
			t.Fatal(err)
		}
	}
	n.Tick()
	rec.expect(t, 1, "answer a 1")
	rec.expect(t, 1, "start b")
}

// The text of an admission error goes to the caller, so it must not contain more than the reason.
func TestAdmissionErrorHasTheTextOfItsReason(t *testing.T) {
	n, rec := newReadyInstance(nil)
	err := n.Admit(rec, "a", Request{ID: "a", Class: "missing"})
	var invalid *AdmissionError
	if !errors.As(err, &invalid) || !errors.Is(err, ErrUnknownClass) || invalid.Value != "missing" || err.Error() != "unknown class" {
		t.Errorf("got %v, %+v; want an AdmissionError of ErrUnknownClass with the value missing", err, invalid)
	}
}
