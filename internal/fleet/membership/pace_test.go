package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stateBytes is what a member takes up in a full exchange, compressed, at the most seen.
const stateBytes = 170

// exchangeBytes is what a member sends and receives a second in full exchanges: two an interval, the whole view both ways.
func exchangeBytes(sync time.Duration, members int) float64 {
	return 4 * stateBytes * float64(members) / ExchangeEvery(sync, members).Seconds()
}

// memberlist's own pace took 5 s at 32 members, 10 at 64, 20 at 256 and 35 at 1,200 for a state that grows with the members:
// 23 KB/s a member there.
func TestFullExchangeCostsNoMoreInALargerFleet(t *testing.T) {
	const sync = 5 * time.Second
	last := exchangeBytes(sync, paceFrom)
	for _, members := range []int{64, 128, 256, 400, 800, 1200, 5000, 10_000} {
		bytes := exchangeBytes(sync, members)
		if bytes > last {
			t.Errorf("%d members: %.0f B/s a member, more than in the smaller fleet (%.0f)", members, bytes, last)
		}
		last = bytes
	}
	if bytes := exchangeBytes(sync, 1200); bytes > 1500 {
		t.Errorf("1,200 members: %.0f B/s a member, want 1,500 at most", bytes)
	}
}

func TestSmallFleetsAreNotSlowed(t *testing.T) {
	for members := 0; members <= paceFrom; members++ {
		if every := ExchangeEvery(time.Second, members); every != time.Second {
			t.Errorf("%d members: exchange every %v, want the interval set", members, every)
		}
		if chance := retryChance(members); chance != 1 {
			t.Errorf("%d members: a dead one tried with chance %.2f, want every time", members, chance)
		}
	}
}

func TestTheWholeFleetsPaceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 10_000).Draw(t, "members")
		if tries := retryChance(members) * float64(members); tries > paceFrom+1e-9 {
			t.Errorf("%.1f tries of the dead a second, want %d at most", tries, paceFrom)
		}
		if changes := float64(members) / loadChangeEvery(members).Seconds(); changes > 4 {
			t.Errorf("%.1f changes of load a second, want 4 at most", changes)
		}
		wait := rapid.Int64Range(1, int64(time.Hour)).Draw(t, "wait")
		if drawn := jitter(time.Duration(wait)); drawn < time.Duration(wait)*3/4 || drawn > time.Duration(wait)*5/4+1 {
			t.Errorf("jitter of %v: %v", time.Duration(wait), drawn)
		}
	})
}
