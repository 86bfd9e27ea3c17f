package ring

import (
	"testing"
	"time"
)

var leaseTerms = LeaseTerms{Duration: time.Second, MaxDrift: 0.02, CancelDelay: 100 * time.Millisecond}

func TestNoSlotIsCalledAtTwoBackendsConcurrently(t *testing.T) {
	var total migrationFigures
	for seed := range uint64(30) {
		f := simulateMigrations(seed, leaseTerms, leaseTerms)
		if f.violations > 0 {
			t.Errorf("seed %d: %d times at two backends", seed, f.violations)
		}
		total.activated += f.activated
		total.calls += f.calls
		total.longestFreeze = max(total.longestFreeze, f.longestFreeze)
	}
	t.Logf("%d migrations activated, %d calls, longest freeze %v", total.activated, total.calls, total.longestFreeze)
	if total.activated < 100 || total.calls < 10000 {
		t.Errorf("only %d migrations activated, %d calls", total.activated, total.calls)
	}
}

// Without the safeguards, a leader that waits for leases and members that stop at their expiry, the simulation must find
// violations.
func TestSlotIsCalledAtTwoBackendsWithoutLeaseWait(t *testing.T) {
	impatient, overstaying := leaseTerms, leaseTerms
	impatient.Duration = 50 * time.Millisecond
	overstaying.Duration = 3 * time.Second
	for name, m := range map[string][2]LeaseTerms{"impatient leader": {impatient, leaseTerms}, "overstaying members": {leaseTerms, overstaying}} {
		violations := 0
		for seed := range uint64(30) {
			violations += simulateMigrations(seed, m[0], m[1]).violations
		}
		if violations == 0 {
			t.Errorf("%s: never at two backends: the check detects nothing", name)
		}
	}
}
