package node

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/loop"
	"thymechute/internal/testutil"
)

// A deep check in progress is answered at the drain notice: no self-test can make a draining instance healthy.
func TestDrainAnswersDeepChecks(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.health.isCached = false
	n.CheckHealth(rec, "1", DeepCheck)
	rec.expect(t, 1, "self-test")
	n.Drain()
	n.Tick()
	rec.expect(t, 1, "health 1 false")
	n.SelfTestEnded("check1", Healthy)
	rec.expect(t, 1, "health")
}

// All fronts are drained, and a draining instance waits for their undelivered answers up to the stop deadline.
func TestDrainReachesAllFrontsAndWaitsForPendingAnswers(t *testing.T) {
	n, rec := newReadyInstance(nil)
	rec.pending = true
	n.Drain()
	n.Tick()
	rec.expect(t, 2, "drain")
	n.now = n.drain.graceEnd + time.Second
	n.lastArrivalAt = n.drain.graceEnd
	if n.advancePhase() != loop.PhaseServing {
		t.Error("the listener closed while a front had pending answers")
	}
	rec.pending = false
	if n.advancePhase() != loop.PhaseClosingListener {
		t.Error("the listener stayed open although nothing was pending")
	}
	rec.pending = true
	n.now = n.drain.deadline - lastAnswerMargin
	if n.advancePhase() != loop.PhaseClosingConns {
		t.Error("the connections stayed open at the last answer margin, as a front had pending answers")
	}
	n.now = n.drain.deadline - exitMargin
	if n.advancePhase() != loop.PhaseStopped {
		t.Error("the loop did not stop before the stop deadline, as a front had pending answers")
	}
}

func TestListenerClosesBeforeTheStopDeadline(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "a", "unsafe", "", 0)
	n.Drain()
	if _, phase := n.Tick(); phase != loop.PhaseServing {
		t.Fatalf("phase %v at the drain notice, want PhaseServing", phase)
	}
	for _, step := range []struct {
		left time.Duration // until the stop deadline
		want loop.Phase
	}{
		{listenerCloseMargin + 100*time.Millisecond, loop.PhaseServing},
		{listenerCloseMargin - 100*time.Millisecond, loop.PhaseClosingListener},
		{lastAnswerMargin, loop.PhaseClosingConns},
		{exitMargin, loop.PhaseStopped},
	} {
		n.now = n.drain.deadline - step.left
		n.lastArrivalAt = n.drain.deadline - step.left
		if got := n.advancePhase(); got != step.want {
			t.Errorf("%v before the stop deadline: phase %v, want %v", step.left, got, step.want)
		}
	}
}

// Requests in transit at the drain notice are accepted, even without a grace period and before the runtime is ready.
func TestListenerStaysOpenJustAfterTheDrainNotice(t *testing.T) {
	rec := &recorder{}
	n := New(testutil.TypedSettings(nil), 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(rec, rec, discardReporter{}, recordingFront{rec})
	n.start = n.start.Add(-time.Minute)
	n.Tick()
	n.Drain()
	if _, phase := n.Tick(); phase != loop.PhaseServing {
		t.Errorf("phase %v at the drain notice, want PhaseServing", phase)
	}
	n.start = n.start.Add(-2 * quietInterval)
	if _, phase := n.Tick(); phase != loop.PhaseClosingListener {
		t.Errorf("phase %v after nothing arrived for twice the quiet interval, want PhaseClosingListener", phase)
	}
}
