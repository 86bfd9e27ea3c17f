package node

import (
	"testing"
	"time"
)

// A stalled machine delivers neither gauges nor events. The controller detects the stall by the deferred tick.
func TestStalledMachineDefersTick(t *testing.T) {
	n, rec := newReadyInstance(nil)
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
			t.Errorf("stalled %v: tick deferred by %v, want %v", stalled, late, want)
		}
	}
	rec.down = true
	if n.controllerTickDue() != n.nextControllerTick {
		t.Error("a tick was deferred while the link was down")
	}
}

func TestPanicOfOneEventDoesNotStopTheNext(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.enqueue(func() { panic("no") })
	n.admitRequest(rec, "a", "safe", "", 0)
	rec.expect(t, 1, "start a")
}
