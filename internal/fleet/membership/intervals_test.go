package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stateBytes is the largest measured size of one member's state in a push/pull, compressed, in bytes.
const stateBytes = 170

// pushPullBytes returns the bytes that a member sends and receives per second: it takes part in two push/pulls per interval,
// each with the whole view in both directions.
func pushPullBytes(sync time.Duration, members int) float64 {
	return 4 * stateBytes * float64(members) / PushPullInterval(sync, members).Seconds()
}

// With memberlist's own intervals (5 s at 32 members, 10 s at 64, 20 s at 256 and 35 s at 1,200) the traffic grows with the
// fleet, to 23 KB/s per member at 1,200.
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
		if interval := PushPullInterval(time.Second, members); interval != time.Second {
			t.Errorf("%d members: push/pull every %v, want the interval set", members, interval)
		}
		if probability := reconnectProbability(members); probability != 1 {
			t.Errorf("%d members: dead ones contacted with probability %.2f, want 1", members, probability)
		}
	}
}

func TestFleetWideRatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 10_000).Draw(t, "members")
		if attempts := reconnectProbability(members) * float64(members); attempts > unscaledMembers+1e-9 {
			t.Errorf("%.1f attempts per second to reach dead members, want at most %d", attempts, unscaledMembers)
		}
		if updates := float64(members) / loadUpdateInterval(members).Seconds(); updates > 4 {
			t.Errorf("%.1f load updates per second, want at most 4", updates)
		}
		wait := rapid.Int64Range(1, int64(time.Hour)).Draw(t, "wait")
		if jittered := jitter(time.Duration(wait)); jittered < time.Duration(wait)*3/4 || jittered > time.Duration(wait)*5/4+1 {
			t.Errorf("jitter of %v: %v", time.Duration(wait), jittered)
		}
	})
}
