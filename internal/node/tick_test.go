package node

import (
	"testing"
	"time"
)

// A stalled machine delivers neither gauges nor events. That is no load, and the controller must learn of the stall.
func TestStalledMachineDefersTick(t *testing.T) {
	n, peers := newReady(nil)
	for _, stalled := range []bool{false, true} {
		n.now = time.Since(n.start)
		n.nextControllerTick, n.gauges.requestedAt, n.gauges.readAt, n.lastEventAt = n.now, n.now-2*stallThreshold, n.now-3*stallThreshold, n.now
		if stalled {
			n.lastEventAt = n.gauges.requestedAt
		}
		if late := n.controllerTickDue() - n.nextControllerTick; (late == maxControllerTickDelay) != stalled || !stalled && late != 0 {
			t.Errorf("stalled %v: %v late", stalled, late)
		}
	}
	if peers.down = true; n.controllerTickDue() != n.nextControllerTick {
		t.Error("a link that is down defers ticks")
	}
}

func TestPanicOfOneEventDoesNotStopTheNext(t *testing.T) {
	n, peers := newReady(nil)
	n.enqueue(func() { panic("no") })
	n.admitRequest(peers, "a", "safe", "", 0)
	peers.expect(t, 1, "start a")
}
