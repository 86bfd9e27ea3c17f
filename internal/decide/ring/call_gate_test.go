package ring

import (
	"testing"
	"time"
)

func TestIdempotentCallsContinueWithoutLease(t *testing.T) {
	empty, _ := New(4)
	if _, _, v := NewCallGate(empty).Admit(0, 0, Idempotent); v != RejectUnassigned {
		t.Errorf("decision %d on an unassigned slot", v)
	}
	table, _, _ := mustPlan(t, empty, testBackends(2), BalanceBound{})
	c := NewCallGate(table)
	if _, _, v := c.Admit(0, 0, NotIdempotent); v != RejectLeaseExpired {
		t.Errorf("decision %d before any lease", v)
	}
	if b, _, v := c.Admit(0, 0, Idempotent); v != AllowStale || b == nil {
		t.Errorf("decision %d for an idempotent call", v)
	}
	c.ExtendLease(time.Second, leaseTerms)
	if _, until, v := c.Admit(time.Second, 0, NotIdempotent); v != Allow || until != time.Second+882*time.Millisecond {
		t.Errorf("decision %d until %v", v, until)
	}
	c.Freeze([]int{0})
	if _, _, v := c.Admit(time.Second, 0, Idempotent); v != RejectMigrating {
		t.Errorf("decision %d on a migrating slot", v)
	}
}

func TestCallGateLimitsWarmingUpBackendToQuota(t *testing.T) {
	table := tableOf(t, []Backend{{Name: "new", Weight: 1, WarmingUp: true}})
	c := NewCallGate(table)
	granted := map[string]int{"new": 2}
	for _, idempotency := range []Idempotency{NotIdempotent, Idempotent} {
		if _, _, v := c.Admit(0, 0, idempotency); v != RejectQuotaExhausted {
			t.Errorf("decision %d without a grant", v)
		}
	}
	if c.SetQuotas(granted); c.leaseExpiry != 0 {
		t.Error("a grant extends the lease")
	}
	c.ExtendLease(time.Second, leaseTerms) // after the grant, so it says nothing of its age
	if _, _, v := c.Admit(time.Second, 0, Idempotent); v != RejectQuotaExhausted {
		t.Errorf("decision %d by a grant from before any lease", v)
	}
	c.SetQuotas(granted)
	c.ExtendLease(2*time.Second, leaseTerms) // a later lease does not extend a quota
	expiry := time.Second + leaseTerms.usableDuration()
	for n, want := range []Decision{Allow, Allow, RejectQuotaExhausted} {
		if _, until, v := c.Admit(time.Second, 0, n == 0); v != want || v == Allow && until != expiry {
			t.Errorf("call %d: decision %d until %v", n, v, until)
		}
	}
	c.SetQuotas(granted)
	if c.SetQuotas(nil); c.quotas["new"] != nil {
		t.Error("a grant without a quota for it leaves the last one's")
	}
	c.quotas["new"] = &callQuota{remaining: 1, expiry: expiry}
	if _, _, v := c.Admit(expiry, 0, Idempotent); v != RejectQuotaExhausted {
		t.Errorf("decision %d past the lease that the grant was applied under", v)
	}
}
