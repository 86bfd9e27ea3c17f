package ring

import (
	"testing"
)

func TestSlotsOfFailedBackendGoToFailoverTargetsInOtherZones(t *testing.T) {
	empty, _ := New(1024)
	was, _, _ := mustPlan(t, empty, testBackends(9), BalanceBound{})
	takenByTarget, inOtherZone := 0, 0
	next, migrations, _ := mustPlan(t, was, testBackends(9)[1:], BalanceBound{Slack: 0.3})
	for _, m := range migrations {
		if m.From != "b000" {
			t.Fatalf("%+v: only the failed backend's slots need to migrate", m)
		}
		target, _ := was.FailoverTarget(m.Slot)
		if target.Zone != "z0" {
			inOtherZone++
		}
		if h, _ := next.Owner(m.Slot); h.Name == target.Name {
			takenByTarget++
		}
	}
	if inOtherZone != len(migrations) || takenByTarget < len(migrations)*9/10 {
		t.Errorf("%d migrations: %d failover targets in another zone, %d slots owned by theirs", len(migrations), inOtherZone, takenByTarget)
	}
	one, _, _ := mustPlan(t, empty, testBackends(1), BalanceBound{})
	if _, ok := one.FailoverTarget(0); ok {
		t.Error("a failover target where there is one backend")
	}
}
