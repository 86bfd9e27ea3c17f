package node

import (
	"testing"
	"time"
)

// A stalled machine delivers neither gauges nor events. The late tick lets the controller detect the stall.
func TestStalledMachineDefersTick(t *testing.T) {
	n, peers := newReady(nil)
	for _, stalled := range []bool{false, true} {
		n.now = time.Since(n.start)
		n.nextControllerTick = n.now
		n.gauges.requestedAt = n.now - 2*stallThreshold
		n.gauges.readAt = n.now - 3*stallThreshold
		n.lastEventAt = n.now
		if stalled {
			n.lastEventAt = n.gauges.requestedAt
		}
		want := time.Duration(0)
		if stalled {
			want = maxControllerTickDelay
		}
		if late := n.controllerTickDue() - n.nextControllerTick; late != want {
			t.Errorf("stalled %v: %v late, want %v", stalled, late, want)
		}
	}
	peers.down = true
	if n.controllerTickDue() != n.nextControllerTick {
		t.Error("a link that is down defers ticks")
	}
}

func TestPanicOfOneEventDoesNotStopTheNext(t *testing.T) {
	n, peers := newReady(nil)
	n.enqueue(func() { panic("no") })
	n.admitRequest(peers, "a", "safe", "", 0)
	peers.expect(t, 1, "start a")
}
