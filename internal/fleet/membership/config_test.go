package membership

import (
	"testing"
	"time"
)

// With a direct probe as long as the interval no indirect probe was answered in time: of 34 suspicions measured at 24 members
// none was refuted, and members that only one other could not reach were declared dead.
func TestDirectProbeLeavesTimeForIndirectProbes(t *testing.T) {
	for _, probe := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, time.Minute} {
		list, err := memberlistConfig(Config{Name: "a", ProbeInterval: probe, SyncInterval: time.Second}, endpoint{host: "127.0.0.1", port: 1})
		if err != nil {
			t.Fatal(err)
		}
		if remaining := list.ProbeInterval - list.ProbeTimeout; remaining < list.ProbeInterval/2 {
			t.Errorf("probe every %v: %v remain after the direct probe, want at least half", list.ProbeInterval, remaining)
		}
		if list.PushPullInterval != 0 {
			t.Errorf("memberlist's own push/pull every %v, want 0, as pushPullLoop replaces it", list.PushPullInterval)
		}
		if list.IndirectChecks < 2 {
			t.Errorf("%d indirect checks, want 2 or more: one member may be behind the same partition", list.IndirectChecks)
		}
	}
}
