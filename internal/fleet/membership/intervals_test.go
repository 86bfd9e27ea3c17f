package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stateBytes is the most that one member was seen to take up in a push/pull, compressed.
const stateBytes = 170

// pushPullBytes is what a member sends and receives per second: two push/pulls an interval, the whole view in both directions.
func pushPullBytes(sync time.Duration, members int) float64 {
	return 4 * stateBytes * float64(members) / PushPullInterval(sync, members).Seconds()
}

// memberlist's own intervals were 5 s at 32 members, 10 at 64, 20 at 256 and 35 at 1,200, for a state that grows with the members:
// 23 KB/s a member there.
func TestPushPullTrafficDoesNotGrowWithFleet(t *testing.T) {
	const sync = 5 * time.Second
	last := pushPullBytes(sync, unscaledMembers)
	for _, members := range []int{64, 128, 256, 400, 800, 1200, 5000, 10_000} {
		bytes := pushPullBytes(sync, members)
		if bytes > last {
			t.Errorf("%d members: %.0f B/s a member, more than in the smaller fleet (%.0f)", members, bytes, last)
		}
		last = bytes
	}
	if bytes := pushPullBytes(sync, 1200); bytes > 1500 {
		t.Errorf("1,200 members: %.0f B/s a member, want 1,500 at most", bytes)
	}
}

func TestSmallFleetsAreNotSlowed(t *testing.T) {
	for members := 0; members <= unscaledMembers; members++ {
		if every := PushPullInterval(time.Second, members); every != time.Second {
			t.Errorf("%d members: push/pull every %v, want the interval set", members, every)
		}
		if probability := reconnectProbability(members); probability != 1 {
			t.Errorf("%d members: dead ones contacted with probability %.2f, want 1", members, probability)
		}
	}
}

func TestFleetWideRatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 10_000).Draw(t, "members")
		if tries := reconnectProbability(members) * float64(members); tries > unscaledMembers+1e-9 {
			t.Errorf("%.1f attempts to reach the dead a second, want %d at most", tries, unscaledMembers)
		}
		if changes := float64(members) / loadUpdateInterval(members).Seconds(); changes > 4 {
			t.Errorf("%.1f load updates a second, want 4 at most", changes)
		}
		wait := rapid.Int64Range(1, int64(time.Hour)).Draw(t, "wait")
		if drawn := jitter(time.Duration(wait)); drawn < time.Duration(wait)*3/4 || drawn > time.Duration(wait)*5/4+1 {
			t.Errorf("jitter of %v: %v", time.Duration(wait), drawn)
		}
	})
}
