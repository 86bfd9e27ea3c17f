package ring

import (
	"slices"
	"testing"
	"time"
)

func tableOf(t *testing.T, want []Backend) *Table {
	empty, _ := New(64)
	table, _, _ := mustPlan(t, empty, want, BalanceBound{})
	return table
}

func TestNewLeaderResumesSlowStart(t *testing.T) {
	want := append(testBackends(2), Backend{Name: "new", Weight: 2, WarmingUp: true})
	table := tableOf(t, testBackends(2))
	r := NewWarmUpController(0, slowStart, callBudget, leaseTerms)
	for _, c := range []struct {
		at          time.Duration
		weight      float64
		isWarmingUp bool
	}{{0, 0.2, true}, {900 * time.Millisecond, 0.2, true}, {time.Second, 0.6, true}, {2 * time.Second, 1, true}} {
		weighted := r.WeightedBackends(c.at, want, table)
		if got := weighted[2]; got.Weight < c.weight-1e-9 || got.Weight > c.weight+1e-9 || got.WarmingUp != c.isWarmingUp {
			t.Errorf("at %v: %+v, want weight %g", c.at, got, c.weight)
		}
		if weighted[0] != want[0] || !want[2].WarmingUp || want[2].Weight != 2 {
			t.Errorf("at %v: the others, or what was asked for, have changed", c.at)
		}
		table = tableOf(t, weighted)
	}
	next := NewWarmUpController(0, slowStart, callBudget, leaseTerms)
	if got := next.WeightedBackends(0, want, table)[2]; got.Weight != 1 || !got.WarmingUp {
		t.Errorf("the next leader starts with %+v", got)
	}
	for at := time.Second; at <= 3*time.Second; at += time.Second {
		next.WeightedBackends(at, want, table)
	}
	whole := next.WeightedBackends(4*time.Second, want, table)
	if whole[2].Weight != 2 || whole[2].WarmingUp {
		t.Errorf("at its full weight it is %+v", whole[2])
	}
	if warm := tableOf(t, whole); !warm.WarmUpChangedSince(table) || table.WarmUpChangedSince(table) || next.WeightedBackends(0, want, warm)[2].WarmingUp {
		t.Error("a backend at full weight warms up again, or the end of its warm-up is no change")
	}
	if next.WeightedBackends(0, want[:2], table); len(next.progress) != 0 {
		t.Error("the progress of a removed backend stays")
	}
}

func TestGrantIsProposedAgainUntilAppliedAndRespectsInterval(t *testing.T) {
	want := append(testBackends(2), Backend{Name: "new", Weight: 1, WarmingUp: true})
	controller := NewWarmUpController(0, slowStart, callBudget, leaseTerms)
	state := &ReplicatedState{Active: tableOf(t, controller.WeightedBackends(0, want, tableOf(t, testBackends(2))))}
	for _, process := range []string{"c", "a", "b", "a"} {
		state.RecordAcknowledgement(process)
	}
	isAlive := func(process string) bool { return process != "b" }
	if _, due := controller.NextGrant(callBudget.GrantInterval-1, state, isAlive); due {
		t.Error("a new leader proposes a grant at once")
	}
	first, due := controller.NextGrant(callBudget.GrantInterval, state, isAlive)
	if !due || first.Sequence != 1 || len(first.Quotas) != 1 || !slices.Equal(first.Departed, []string{"b"}) {
		t.Fatalf("%+v, %v", first, due)
	}
	if _, due := controller.NextGrant(callBudget.GrantInterval+leaseTerms.Duration/4-1, state, isAlive); due {
		t.Error("proposed again too soon")
	}
	if again, due := controller.NextGrant(callBudget.GrantInterval+leaseTerms.Duration/4, state, isAlive); !due || again.Sequence != 1 {
		t.Errorf("proposed again: %+v, %v", again, due)
	}
	if !state.ApplyGrant(first) || state.ApplyGrant(first) || !slices.Equal(state.Participants, []string{"a", "c"}) {
		t.Errorf("a grant counts twice, or the participants are %v", state.Participants)
	}
	controller.GrantApplied(time.Second)
	if _, due := controller.NextGrant(time.Second+callBudget.GrantInterval-1, state, isAlive); due {
		t.Error("the next is proposed too soon")
	}
	if next, _ := controller.NextGrant(time.Second+callBudget.GrantInterval, state, isAlive); next.Sequence != 2 {
		t.Errorf("next: %+v", next)
	}
	state.Active = tableOf(t, testBackends(2))
	if _, due := controller.NextGrant(time.Hour, state, isAlive); due {
		t.Error("a grant without a backend that is warming up")
	}
}

func TestParticipantsExistOnlyDuringWarmUpAndSurviveSnapshots(t *testing.T) {
	want := append(testBackends(2), Backend{Name: "new", Weight: 1, WarmingUp: true})
	a := ReplicatedState{Active: tableOf(t, testBackends(2))}
	if a.RecordAcknowledgement("a"); a.Participants != nil {
		t.Error("participants without a backend that is warming up")
	}
	a.Active = tableOf(t, want)
	a.RecordAcknowledgement("a")
	a.RecordAcknowledgement("b")
	a.RemoveParticipant("who")
	a.ApplyGrant(Grant{Sequence: 1})
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var back ReplicatedState
	if err := back.Decode(b); err != nil || !slices.Equal(back.Participants, a.Participants) || back.LastGrant != 1 || !back.Active.HasWarmingUp() ||
		back.Active.Digest() != a.Active.Digest() || back.Active.Digest() == tableOf(t, append(want[:2:2], Backend{Name: "new", Weight: 1})).Digest() {
		t.Errorf("%v: %+v", err, back)
	}
	if back.Decode([]byte(`{"Table":{"Slots":"AAAAAA=="},"Roster":["b","a"]}`)) == nil {
		t.Error("participants out of order were accepted")
	}
	warm, migrations, _ := mustPlan(t, a.Active, append(want[:2:2], Backend{Name: "new", Weight: 1}), BalanceBound{})
	if a.Freeze(warm, nil); len(migrations) != 0 || !a.Activate(warm.Version) || a.Participants != nil {
		t.Errorf("%d migrations, participants after the warm-up: %v", len(migrations), a.Participants)
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
