package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stateBytes is the largest measured size of one member's state in a push/pull, compressed, in bytes.
const stateBytes = 170

// pushPullBytes returns the bytes that a member sends and receives per second. It takes part in two push/pulls per interval,
// each of which transfers the whole view in both directions.
func pushPullBytes(sync time.Duration, members int) float64 {
	return 4 * stateBytes * float64(members) / PushPullInterval(sync, members).Seconds()
}

// With memberlist's own intervals (5 s for 32 members, 10 s for 64, 20 s for 256 and 35 s for 1,200) the traffic of a member
// grows with the fleet, to 23 KB/s with 1,200 members.
func TestPushPullTrafficDoesNotGrowWithFleet(t *testing.T) {
	const sync = 5 * time.Second
	last := pushPullBytes(sync, maxUnscaledMembers)
	for _, members := range []int{64, 128, 256, 400, 800, 1200, 5000, 10_000} {
		bytes := pushPullBytes(sync, members)
		if bytes > last {
			t.Errorf("%d members: %.0f B/s per member, more than in the smaller fleet (%.0f)", members, bytes, last)
		}
		last = bytes
	}
	if bytes := pushPullBytes(sync, 1200); bytes > 1500 {
		t.Errorf("1,200 members: %.0f B/s per member, want at most 1,500", bytes)
	}
}

func TestSmallFleetsAreNotSlowed(t *testing.T) {
	for members := 0; members <= maxUnscaledMembers; members++ {
		if interval := PushPullInterval(time.Second, members); interval != time.Second {
			t.Errorf("%d members: push/pull every %v, want the configured second", members, interval)
		}
		if probability := reconnectProbability(members); probability != 1 {
			t.Errorf("%d members: dead members contacted with probability %.2f, want 1", members, probability)
		}
	}
}

func TestFleetWideRatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 10_000).Draw(t, "members")
		if attempts := reconnectProbability(members) * float64(members); attempts > maxUnscaledMembers+1e-9 {
			t.Errorf("%.1f attempts per second to contact dead members, want at most %d", attempts, maxUnscaledMembers)
		}
		if updates := float64(members) / loadUpdateInterval(members).Seconds(); updates > 4 {
			t.Errorf("%.1f load updates per second, want at most 4", updates)
		}
		wait := rapid.Int64Range(1, int64(time.Hour)).Draw(t, "wait")
		if jittered := jitter(time.Duration(wait)); jittered < time.Duration(wait)*3/4 || jittered > time.Duration(wait)*5/4+1 {
			t.Errorf("wait of %v with jitter: %v, want 3/4 to 5/4", time.Duration(wait), jittered)
		}
	})
}
