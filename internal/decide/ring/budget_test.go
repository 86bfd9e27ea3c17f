package ring

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var callBudget = CallBudget{CallsPerWindow: 100, Window: time.Second, GrantInterval: 250 * time.Millisecond}

func TestCallBudgetValidate(t *testing.T) {
	if err := callBudget.Validate(); err != nil {
		t.Error(err)
	}
	for _, b := range []CallBudget{{}, {0, time.Second, time.Second}, {1, 0, time.Second}, {1, time.Second, 0}, {1, time.Second, 2 * time.Second}} {
		if b.Validate() == nil {
			t.Errorf("%+v was accepted", b)
		}
	}
}

// As many consecutive grants as can be used within one window sum to the budget, and none of it is lost.
func TestOverlappingGrantsSumToBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := CallBudget{CallsPerWindow: rapid.IntRange(1, 5000).Draw(t, "calls"), Window: time.Duration(rapid.IntRange(1, 5000).Draw(t, "window")) * time.Millisecond}
		b.GrantInterval = time.Duration(rapid.IntRange(1, int(b.Window/time.Millisecond)).Draw(t, "every")) * time.Millisecond
		l := LeaseTerms{Duration: time.Duration(rapid.IntRange(1, 5000).Draw(t, "lease")) * time.Millisecond, MaxDrift: rapid.Float64Range(0, 0.5).Draw(t, "drift")}
		part := rapid.Float64Range(0, 1).Draw(t, "part")
		from, sum, over := rapid.Uint64Range(0, 1<<32).Draw(t, "from"), 0, b.maxOverlap(l)
		for n := range over {
			sum += b.grantSize(from+n, part, l)
		}
		if sum != b.CallsAt(part) {
			t.Errorf("%d grants from %d sum to %d, want %d", over, from, sum, b.CallsAt(part))
		}
		// Entries are GrantInterval apart by the fastest clock, and each is used until less than a lease after it.
		if most := float64(b.Window+l.Duration) / (float64(b.GrantInterval) / (1 + l.MaxDrift)); float64(over) < most {
			t.Errorf("%g grants can be used within a window, counted as %d", most, over)
		}
	})
}

func TestGrantIsSplitCompletely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var participants []string
		for n := range rapid.IntRange(1, 60).Draw(t, "members") {
			participants = append(participants, fmt.Sprintf("m%02d", n))
		}
		l := Grant{Sequence: rapid.Uint64().Draw(t, "number"), Quotas: []BackendQuota{{"a", rapid.IntRange(0, 300).Draw(t, "a")}, {"b", rapid.IntRange(0, 300).Draw(t, "b")}}}
		for _, c := range l.Quotas {
			sum, minimum, most := 0, math.MaxInt, 0
			for _, process := range participants {
				n := l.QuotasFor(participants, process)[c.Backend]
				sum, minimum, most = sum+n, min(minimum, n), max(most, n)
			}
			if sum != c.Calls || most > minimum+1 {
				t.Errorf("%d of %s split into %d, from %d to %d", c.Calls, c.Backend, sum, minimum, most)
			}
		}
		if l.QuotasFor(participants, "who") != nil {
			t.Error("a process that is not a participant has a quota")
		}
	})
}

// Quotas under one call: over many grants each member has its turn.
func TestSmallGrantsRotateAmongMembers(t *testing.T) {
	participants, had := []string{"a", "b", "c", "d", "e", "f", "g", "h"}, map[string]int{}
	for n := range uint64(800) {
		for _, process := range participants {
			had[process] += Grant{Sequence: n, Quotas: []BackendQuota{{"x", 1}}}.QuotasFor(participants, process)["x"]
		}
	}
	for _, process := range participants {
		if had[process] < 70 || had[process] > 130 {
			t.Errorf("of 800 calls %s had %d: %v", process, had[process], had)
		}
	}
}

// maxRoundingExcess: a window may have grants of two fractions, each rounded down: one call at most over the later budget.
const maxRoundingExcess = 1

func TestFleetStaysWithinBudgetOfWarmingUpBackend(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 30).Draw(t, "members")
		sent, over := simulateBudget(rapid.Uint64().Draw(t, "seed"), members, disabledGuards{})
		if total += sent; over > maxRoundingExcess {
			t.Errorf("%d members: %d calls over the budget of a window", members, over)
		}
	})
	if total < 1000 {
		t.Errorf("only %d calls sent in all", total)
	}
}

// Without each one of the guards the simulation must exceed the budget.
func TestBudgetIsExceededWithoutEachGuard(t *testing.T) {
	for name, disabled := range map[string]disabledGuards{"no quotas": {quotas: true}, "quotas that outlive the lease": {quotaExpiry: true},
		"grants proposed too soon": {grantInterval: true}, "a whole grant for each member": {grantSplit: true}} {
		worst := 0
		for seed := range uint64(60) {
			_, over := simulateBudget(seed, 24, disabled)
			worst = max(worst, over)
		}
		if worst <= maxRoundingExcess {
			t.Errorf("%s: never over the budget by more than %d, so the check detects nothing", name, worst)
		}
		t.Logf("%s: over by %d", name, worst)
	}
}
