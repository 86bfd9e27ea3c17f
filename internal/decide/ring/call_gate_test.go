package ring

import (
	"testing"
	"time"
)

func TestIdempotentCallsContinueWithoutLease(t *testing.T) {
	empty, _ := New(4)
	if _, _, decision := NewCallGate(empty).Admit(0, 0, Idempotent); decision != RejectUnassigned {
		t.Errorf("decision %d for an unassigned slot, want RejectUnassigned", decision)
	}
	table, _, _ := mustPlan(t, empty, testBackends(2), BalanceBound{})
	gate := NewCallGate(table)
	if _, _, decision := gate.Admit(0, 0, NotIdempotent); decision != RejectLeaseExpired {
		t.Errorf("decision %d before the first lease, want RejectLeaseExpired", decision)
	}
	if b, _, decision := gate.Admit(0, 0, Idempotent); decision != AllowStale || b == nil {
		t.Errorf("decision %d for an idempotent call without a lease, want AllowStale and a backend", decision)
	}
	gate.ExtendLease(time.Second, leaseTerms)
	if _, until, decision := gate.Admit(time.Second, 0, NotIdempotent); decision != Allow || until != time.Second+882*time.Millisecond {
		t.Errorf("decision %d, deadline %v", decision, until)
	}
	gate.Freeze([]int{0})
	if _, _, decision := gate.Admit(time.Second, 0, Idempotent); decision != RejectMigrating {
		t.Errorf("decision %d for a migrating slot, want RejectMigrating", decision)
	}
}

func TestCallGateLimitsWarmingUpBackendToQuota(t *testing.T) {
	table := tableOf(t, []Backend{{Name: "new", Weight: 1, WarmingUp: true}})
	gate := NewCallGate(table)
	granted := map[string]int{"new": 2}
	for _, idempotency := range []Idempotency{NotIdempotent, Idempotent} {
		if _, _, decision := gate.Admit(0, 0, idempotency); decision != RejectQuotaExhausted {
			t.Errorf("decision %d without a grant, want RejectQuotaExhausted", decision)
		}
	}
	if gate.SetQuotas(granted); gate.leaseExpiry != 0 {
		t.Error("a grant extended the lease")
	}
	gate.ExtendLease(time.Second, leaseTerms) // after the grant, so it does not prove that the grant is recent
	if _, _, decision := gate.Admit(time.Second, 0, Idempotent); decision != RejectQuotaExhausted {
		t.Errorf("decision %d by a grant applied before the first lease, want RejectQuotaExhausted", decision)
	}
	gate.SetQuotas(granted)
	gate.ExtendLease(2*time.Second, leaseTerms) // a renewed lease does not extend a quota
	expiry := time.Second + leaseTerms.usableDuration()
	for n, want := range []Decision{Allow, Allow, RejectQuotaExhausted} {
		if _, until, decision := gate.Admit(time.Second, 0, Idempotency(n == 0)); decision != want || decision == Allow && until != expiry {
			t.Errorf("call %d: decision %d, deadline %v", n, decision, until)
		}
	}
	gate.SetQuotas(granted)
	if gate.SetQuotas(nil); gate.quotas["new"] != nil {
		t.Error("the quota of an earlier grant remains after a grant without one for the backend")
	}
	gate.quotas["new"] = &callQuota{remaining: 1, expiry: expiry}
	if _, _, decision := gate.Admit(expiry, 0, Idempotent); decision != RejectQuotaExhausted {
		t.Errorf("decision %d after the expiry of the lease under which the grant was applied, want RejectQuotaExhausted", decision)
	}
}
