package ring

import (
	"testing"
	"time"
)

var leaseTerms = LeaseTerms{Duration: time.Second, MaxDrift: 0.02, CancelDelay: 100 * time.Millisecond}

func TestNoSlotIsCalledAtTwoBackendsConcurrently(t *testing.T) {
	var total migrationStats
	for seed := range uint64(30) {
		f := simulateMigrations(seed, leaseTerms, leaseTerms)
		if f.violations > 0 {
			t.Errorf("seed %d: slots were called at two backends at once %d times", seed, f.violations)
		}
		total.activated += f.activated
		total.calls += f.calls
		total.longestFreeze = max(total.longestFreeze, f.longestFreeze)
	}
	t.Logf("%d migrations activated, %d calls, longest freeze %v", total.activated, total.calls, total.longestFreeze)
	if total.activated < 100 || total.calls < 10000 {
		t.Errorf("%d migrations activated and %d calls, want at least 100 and 10000", total.activated, total.calls)
	}
}

// The leader waits for leases to expire, and members stop calling when their lease expires. Without either of these
// safeguards the simulation must find violations.
func TestSlotIsCalledAtTwoBackendsWithoutLeaseWait(t *testing.T) {
	shortWait, longLease := leaseTerms, leaseTerms
	shortWait.Duration = 50 * time.Millisecond
	longLease.Duration = 3 * time.Second
	for name, terms := range map[string][2]LeaseTerms{"leader waits too briefly": {shortWait, leaseTerms},
		"members call too long": {leaseTerms, longLease}} {
		violations := 0
		for seed := range uint64(30) {
			violations += simulateMigrations(seed, terms[0], terms[1]).violations
		}
		if violations == 0 {
			t.Errorf("%s: no slot was called at two backends at once, so the check does not detect it", name)
		}
	}
}
