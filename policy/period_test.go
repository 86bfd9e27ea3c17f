package policy

import "testing"

// Guards against memory that grows with the rate of a client that sends each request under a new caller number.
func TestCallersOfAPeriodAreBounded(t *testing.T) {
	counters := periodCounters{callers: map[int]bool{}}
	for caller := range 10 * maxTrackedCallers {
		counters.countCaller(caller)
		counters.countCaller(0)
	}
	if len(counters.callers) != maxTrackedCallers {
		t.Errorf("%d callers are tracked, want %d", len(counters.callers), maxTrackedCallers)
	}
	counters.reset()
	if counters.countCaller(1); len(counters.callers) != 1 {
		t.Errorf("%d callers after a reset, want 1", len(counters.callers))
	}
}
