package node

import (
	"fmt"
	"testing"

	"thymechute/internal/decide/runids"
	"thymechute/policy"
)

// Guards against a second run of an id that comes again after its run: in each class that must not run twice, also if the result
// was not cached and while the table of requests is full, in which it must not be rejected as one that has not run.
func TestIDThatRanIsNotRunAgain(t *testing.T) {
	for _, c := range []struct{ class, key string }{{"unsafe", ""}, {"keyed", ""}, {"keyed", "dropped"}} {
		t.Run(c.class+" "+c.key, func(t *testing.T) {
			n, rec := newReadyInstance(nil)
			n.admitRequest(rec, "a", c.class, c.key, 0)
			n.RunEnded("a", RunResult{Outcome: policy.OK})
			n.Tick()
			rec.expect(t, 1, "answer a 0")
			n.dropKey("keyed dropped")
			n.admitRequest(rec, "a", c.class, c.key, 0)
			rec.expect(t, 1, "answer a 2")
			n.maxTableBytes = 0
			n.admitRequest(rec, "a", c.class, c.key, 0)
			rec.expect(t, 2, "answer a 2")
			rec.expect(t, 0, "answer a 1")
			rec.expect(t, 1, "start a")
		})
	}
}

func TestIDOfSafeRequestMayRunAgain(t *testing.T) {
	n, rec := newReadyInstance(nil)
	for range 2 {
		n.admitRequest(rec, "a", "safe", "", 0)
		n.RunEnded("a", RunResult{Outcome: policy.OK})
		n.Tick()
	}
	rec.expect(t, 2, "start a")
	rec.expect(t, 2, "answer a 0")
}

// An id whose request was rejected or whose start was never sent has not run, so it may come again.
func TestIDThatDidNotRunMayComeAgain(t *testing.T) {
	n, rec := newReadyInstance(nil)
	limit := n.maxTableBytes
	n.maxTableBytes = 0
	n.admitRequest(rec, "a", "unsafe", "", 0)
	rec.expect(t, 1, "answer a 1")
	n.maxTableBytes = limit
	n.admitRequest(rec, "a", "unsafe", "", 0)
	rec.expect(t, 1, "start a")
}

// The memory of ids is bounded. An id that is older than it reaches is run again; the newest are not.
func TestIDsAreRememberedUpToTheLimit(t *testing.T) {
	const limit = 4
	n, rec := newReadyInstance(nil)
	n.runIDs = runids.New(limit)
	run := func(id TaskID) {
		n.admitRequest(rec, id, "unsafe", "", 0)
		n.RunEnded(id, RunResult{Outcome: policy.OK})
		n.Tick()
	}
	for number := range 3 * limit {
		run(TaskID(fmt.Sprintf("id%02d", number)))
	}
	run("id11")
	rec.expect(t, 1, "start id11")
	run("id00")
	rec.expect(t, 2, "start id00")
}

// After a restart the ids of earlier runs are unknown, but for those that the runtime still reports.
func TestIDReportedByRuntimeAfterRestartIsNotRunAgain(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.runtimeProcess.isReused = true
	n.RunEnded("earlier", RunResult{Outcome: policy.OK})
	n.Tick()
	n.admitRequest(rec, "earlier", "unsafe", "", 0)
	rec.expect(t, 1, "answer earlier 2")
	rec.expect(t, 0, "start earlier")
}
