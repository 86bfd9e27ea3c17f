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
	n, peers := newReady(nil)
	n.health.isCached = false
	n.CheckHealth(peers, "1", DeepCheck)
	peers.expect(t, 1, "test")
	n.Drain()
	n.Tick()
	peers.expect(t, 1, "checked 1 false")
	n.SelfTestEnded("check1", Healthy)
	peers.expect(t, 1, "checked")
}

// All fronts are drained, and a draining instance waits for their undelivered answers up to the stop deadline.
func TestDrainReachesAllFrontsAndWaitsForPendingAnswers(t *testing.T) {
	n, peers := newReady(nil)
	peers.pending = true
	n.Drain()
	n.Tick()
	peers.expect(t, 2, "drain")
	n.now = n.drain.graceEnd + time.Second
	n.lastArrivalAt = n.drain.graceEnd
	if n.advancePhase() != loop.PhaseServing {
		t.Error("the listener closes though a front has pending answers")
	}
	peers.pending = false
	if n.advancePhase() != loop.PhaseClosingListener {
		t.Error("the listener stays open though nothing is pending")
	}
	peers.pending = true
	n.now = n.drain.deadline - lastAnswerMargin
	if n.advancePhase() != loop.PhaseClosingConns {
		t.Error("a front that stays pending keeps the connections open")
	}
	n.now = n.drain.deadline - exitMargin
	if n.advancePhase() != loop.PhaseStopped {
		t.Error("a front that stays pending outlasts the stop deadline")
	}
}

func TestListenerClosesBeforeTheStopDeadline(t *testing.T) {
	n, peers := newReady(nil)
	n.admitRequest(peers, "a", "unsafe", "", 0)
	n.Drain()
	if _, phase := n.Tick(); phase != loop.PhaseServing {
		t.Fatalf("phase %v at the drain notice", phase)
	}
	for _, at := range []struct {
		left time.Duration // until the stop deadline
		want loop.Phase
	}{
		{listenerCloseMargin + 100*time.Millisecond, loop.PhaseServing},
		{listenerCloseMargin - 100*time.Millisecond, loop.PhaseClosingListener},
		{lastAnswerMargin, loop.PhaseClosingConns},
		{exitMargin, loop.PhaseStopped},
	} {
		n.now = n.drain.deadline - at.left
		n.lastArrivalAt = n.drain.deadline - at.left
		if got := n.advancePhase(); got != at.want {
			t.Errorf("%v before the stop deadline: phase %v, want %v", at.left, got, at.want)
		}
	}
}

// Requests in transit at the drain notice are accepted, even without a grace period and before the runtime is ready.
func TestListenerStaysOpenJustAfterTheDrainNotice(t *testing.T) {
	peers := &recorder{}
	n := New(testutil.TypedSettings(nil), 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(peers, peers, discardReporter{}, recordingFront{peers})
	n.start = n.start.Add(-time.Minute)
	n.Tick()
	n.Drain()
	if _, phase := n.Tick(); phase != loop.PhaseServing {
		t.Errorf("phase %v at the drain notice", phase)
	}
	n.start = n.start.Add(-2 * quietInterval)
	if _, phase := n.Tick(); phase != loop.PhaseClosingListener {
		t.Errorf("phase %v when nothing arrives any more", phase)
	}
}
