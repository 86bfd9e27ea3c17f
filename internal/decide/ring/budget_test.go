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
	for _, b := range []CallBudget{{}, {0, time.Second, time.Second}, {1, 0, time.Second}, {1, time.Second, 0},
		{1, time.Second, 2 * time.Second}} {
		if b.Validate() == nil {
			t.Errorf("%+v was accepted", b)
		}
	}
}

// As many consecutive grants as can be used within one window sum to exactly the budget of a window.
func TestOverlappingGrantsSumToBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := CallBudget{CallsPerWindow: rapid.IntRange(1, 5000).Draw(t, "calls"),
			Window: time.Duration(rapid.IntRange(1, 5000).Draw(t, "window")) * time.Millisecond}
		b.GrantInterval = time.Duration(rapid.IntRange(1, int(b.Window/time.Millisecond)).Draw(t, "grant interval")) * time.Millisecond
		terms := LeaseTerms{Duration: time.Duration(rapid.IntRange(1, 5000).Draw(t, "lease")) * time.Millisecond,
			MaxDrift: rapid.Float64Range(0, 0.5).Draw(t, "drift")}
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		first, sum, overlap := rapid.Uint64Range(0, 1<<32).Draw(t, "first"), 0, b.maxOverlap(terms)
		for n := range overlap {
			sum += b.grantSize(first+n, fraction, terms)
		}
		if sum != b.CallsAt(fraction) {
			t.Errorf("%d grants from sequence %d sum to %d calls, want %d", overlap, first, sum, b.CallsAt(fraction))
		}
		// Grants are GrantInterval apart by the fastest clock, and each is used for less than a lease duration.
		if needed := float64(b.Window+terms.Duration) / (float64(b.GrantInterval) / (1 + terms.MaxDrift)); float64(overlap) < needed {
			t.Errorf("up to %g grants can be used within a window, maxOverlap is %d", needed, overlap)
		}
	})
}

func TestGrantIsSplitCompletely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var participants []string
		for n := range rapid.IntRange(1, 60).Draw(t, "members") {
			participants = append(participants, fmt.Sprintf("m%02d", n))
		}
		grant := Grant{Sequence: rapid.Uint64().Draw(t, "sequence"),
			Quotas: []BackendQuota{{"a", rapid.IntRange(0, 300).Draw(t, "a")}, {"b", rapid.IntRange(0, 300).Draw(t, "b")}}}
		for _, quota := range grant.Quotas {
			sum, minimum, maximum := 0, math.MaxInt, 0
			for _, process := range participants {
				n := grant.QuotasFor(participants, process)[quota.Backend]
				sum, minimum, maximum = sum+n, min(minimum, n), max(maximum, n)
			}
			if sum != quota.Calls || maximum > minimum+1 {
				t.Errorf("%d calls to %s are split into %d, from %d to %d per participant", quota.Calls, quota.Backend, sum, minimum, maximum)
			}
		}
		if grant.QuotasFor(participants, "unknown") != nil {
			t.Error("a process that is not a participant got a quota")
		}
	})
}

// If a grant has fewer calls than there are participants, the calls are spread evenly over many grants.
func TestSmallGrantsRotateAmongMembers(t *testing.T) {
	participants, calls := []string{"a", "b", "c", "d", "e", "f", "g", "h"}, map[string]int{}
	for n := range uint64(800) {
		for _, process := range participants {
			calls[process] += Grant{Sequence: n, Quotas: []BackendQuota{{"x", 1}}}.QuotasFor(participants, process)["x"]
		}
	}
	for _, process := range participants {
		if calls[process] < 70 || calls[process] > 130 {
			t.Errorf("%s got %d of 800 calls, want 70 to 130: %v", process, calls[process], calls)
		}
	}
}

// maxRoundingExcess is how many calls may exceed the budget by rounding: a window may contain grants for two fractions, each
// rounded down, which can sum to one call more than the later budget.
const maxRoundingExcess = 1

func TestFleetStaysWithinBudgetOfWarmingUpBackend(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 30).Draw(t, "members")
		sent, over := simulateBudget(rapid.Uint64().Draw(t, "seed"), members, disabledGuards{})
		if total += sent; over > maxRoundingExcess {
			t.Errorf("%d members: exceeded the budget of a window by %d calls", members, over)
		}
	})
	if total < 1000 {
		t.Errorf("%d calls sent in all runs, want at least 1000", total)
	}
}

// If any one of the safeguards is disabled, the simulation must exceed the budget.
func TestBudgetIsExceededWithoutEachGuard(t *testing.T) {
	for name, disabled := range map[string]disabledGuards{"no quotas": {quotas: true}, "quotas outlive the lease": {quotaExpiry: true},
		"grants proposed too early": {grantInterval: true}, "whole grant for each member": {grantSplit: true}} {
		worst := 0
		for seed := range uint64(60) {
			_, over := simulateBudget(seed, 24, disabled)
			worst = max(worst, over)
		}
		if worst <= maxRoundingExcess {
			t.Errorf("%s: exceeded the budget by at most %d calls, so the check does not detect it", name, worst)
		}
		t.Logf("%s: exceeded the budget by %d calls", name, worst)
	}
}
