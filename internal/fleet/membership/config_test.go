package membership

import (
	"testing"
	"time"
)

// With a direct probe as long as the probe interval, no indirect probe was answered in time: of 34 suspicions measured in a
// fleet of 24, none was refuted, and members that only one other member could not reach were declared dead.
func TestDirectProbeLeavesTimeForIndirectProbes(t *testing.T) {
	for _, probe := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, time.Minute} {
		list, err := memberlistConfig(Config{Name: "a", ProbeInterval: probe, SyncInterval: time.Second}, endpoint{host: "127.0.0.1", port: 1})
		if err != nil {
			t.Fatal(err)
		}
		if remaining := list.ProbeInterval - list.ProbeTimeout; remaining < list.ProbeInterval/2 {
			t.Errorf("probe interval %v: %v remain after the direct probe, want at least half", list.ProbeInterval, remaining)
		}
		if list.PushPullInterval != 0 {
			t.Errorf("memberlist's push/pull interval: %v, want 0, as pushPullLoop replaces its schedule", list.PushPullInterval)
		}
		if list.IndirectChecks < 2 {
			t.Errorf("%d indirect checks, want at least 2, as one member may be behind the same partition", list.IndirectChecks)
		}
	}
}
