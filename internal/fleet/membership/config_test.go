package membership

import (
	"testing"
	"time"
)

// With a direct probe as long as the interval no indirect probe ever answered in time: of 34 suspicions at 24 members
// none was averted, and members that could be reached by all but one were declared dead.
func TestDirectProbeLeavesTimeForIndirectProbes(t *testing.T) {
	for _, probe := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, time.Minute} {
		lc, err := memberlistConfig(Config{Name: "a", ProbeInterval: probe, SyncInterval: time.Second}, endpoint{host: "127.0.0.1", port: 1})
		if err != nil {
			t.Fatal(err)
		}
		if left := lc.ProbeInterval - lc.ProbeTimeout; left < lc.ProbeInterval/2 {
			t.Errorf("probe every %v: %v left after the direct probe, want at least half", lc.ProbeInterval, left)
		}
		if lc.PushPullInterval != 0 {
			t.Errorf("memberlist's own push/pull every %v, want none beside pushPullLoop", lc.PushPullInterval)
		}
		if lc.IndirectChecks < 2 {
			t.Errorf("%d indirect checks, want 2 or more: one member may be behind the same partition", lc.IndirectChecks)
		}
	}
}
