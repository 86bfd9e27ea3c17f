package ring

import (
	"testing"
	"time"
)

func TestIdempotentCallsContinueWithoutLease(t *testing.T) {
	empty, _ := New(4)
	if _, _, decision := NewCallGate(empty).Admit(0, 0, Idempotent); decision != RejectUnassigned {
		t.Errorf("decision %d on an unassigned slot", decision)
	}
	table, _, _ := mustPlan(t, empty, testBackends(2), BalanceBound{})
	gate := NewCallGate(table)
	if _, _, decision := gate.Admit(0, 0, NotIdempotent); decision != RejectLeaseExpired {
		t.Errorf("decision %d before any lease", decision)
	}
	if b, _, decision := gate.Admit(0, 0, Idempotent); decision != AllowStale || b == nil {
		t.Errorf("decision %d for an idempotent call", decision)
	}
	gate.ExtendLease(time.Second, leaseTerms)
	if _, until, decision := gate.Admit(time.Second, 0, NotIdempotent); decision != Allow || until != time.Second+882*time.Millisecond {
		t.Errorf("decision %d until %v", decision, until)
	}
	gate.Freeze([]int{0})
	if _, _, decision := gate.Admit(time.Second, 0, Idempotent); decision != RejectMigrating {
		t.Errorf("decision %d on a migrating slot", decision)
	}
}

func TestCallGateLimitsWarmingUpBackendToQuota(t *testing.T) {
	table := tableOf(t, []Backend{{Name: "new", Weight: 1, WarmingUp: true}})
	gate := NewCallGate(table)
	granted := map[string]int{"new": 2}
	for _, idempotency := range []Idempotency{NotIdempotent, Idempotent} {
		if _, _, decision := gate.Admit(0, 0, idempotency); decision != RejectQuotaExhausted {
			t.Errorf("decision %d without a grant", decision)
		}
	}
	if gate.SetQuotas(granted); gate.leaseExpiry != 0 {
		t.Error("a grant extends the lease")
	}
	gate.ExtendLease(time.Second, leaseTerms) // after the grant, so it says nothing of its age
	if _, _, decision := gate.Admit(time.Second, 0, Idempotent); decision != RejectQuotaExhausted {
		t.Errorf("decision %d by a grant from before any lease", decision)
	}
	gate.SetQuotas(granted)
	gate.ExtendLease(2*time.Second, leaseTerms) // a later lease does not extend a quota
	expiry := time.Second + leaseTerms.usableDuration()
	for n, want := range []Decision{Allow, Allow, RejectQuotaExhausted} {
		if _, until, decision := gate.Admit(time.Second, 0, Idempotency(n == 0)); decision != want || decision == Allow && until != expiry {
			t.Errorf("call %d: decision %d until %v", n, decision, until)
		}
	}
	gate.SetQuotas(granted)
	if gate.SetQuotas(nil); gate.quotas["new"] != nil {
		t.Error("a grant without a quota for it leaves the last one's")
	}
	gate.quotas["new"] = &callQuota{remaining: 1, expiry: expiry}
	if _, _, decision := gate.Admit(expiry, 0, Idempotent); decision != RejectQuotaExhausted {
		t.Errorf("decision %d past the lease that the grant was applied under", decision)
	}
}
