package membership

import (
	"testing"
	"time"
)

// With a direct try as long as the interval no indirect probe ever answered in time: of 34 suspicions at 24 members
// none was averted, and members that could be reached by all but one were declared gone.
func TestAProbeLeavesTimeForIndirectTries(t *testing.T) {
	for _, probe := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, time.Minute} {
		lc, err := settings(Config{Name: "a", Probe: probe, Sync: time.Second}, "127.0.0.1", 1)
		if err != nil {
			t.Fatal(err)
		}
		if left := lc.ProbeInterval - lc.ProbeTimeout; left < lc.ProbeInterval/2 {
			t.Errorf("probe every %v: %v left after the direct try, want at least half", lc.ProbeInterval, left)
		}
		if lc.PushPullInterval != 0 {
			t.Errorf("memberlist's own full exchange every %v, want none beside ours (pace.go)", lc.PushPullInterval)
		}
		if lc.IndirectChecks < 2 {
			t.Errorf("%d members asked, want 2 or more: one may stand behind the same cut", lc.IndirectChecks)
		}
	}
}
