package ring

import (
	"testing"
)

func TestSlotsOfFailedBackendGoToFailoverTargetsInOtherZones(t *testing.T) {
	empty, _ := New(1024)
	previous, _, _ := mustPlan(t, empty, testBackends(9), BalanceBound{})
	takenByTarget, inOtherZone := 0, 0
	next, migrations, _ := mustPlan(t, previous, testBackends(9)[1:], BalanceBound{Slack: 0.3})
	for _, m := range migrations {
		if m.From != "b000" {
			t.Fatalf("%+v: a slot of a backend that has not failed migrates", m)
		}
		target, _ := previous.FailoverTarget(m.Slot)
		if target.Zone != "z0" {
			inOtherZone++
		}
		if owner, _ := next.Owner(m.Slot); owner.Name == target.Name {
			takenByTarget++
		}
	}
	if inOtherZone != len(migrations) || takenByTarget < len(migrations)*9/10 {
		t.Errorf("%d migrations: %d slots have a failover target in another zone, %d are owned by their failover target",
			len(migrations), inOtherZone, takenByTarget)
	}
	single, _, _ := mustPlan(t, empty, testBackends(1), BalanceBound{})
	if _, ok := single.FailoverTarget(0); ok {
		t.Error("found a failover target though there is only one backend")
	}
}
