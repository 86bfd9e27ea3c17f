// This file owns how often a member does what costs each of the others something or grows with the view, as a function of
// the members in the view. It must never slow a fleet of up to paceFrom members.
//
// memberlist's own pace of the full exchange (pushPullScale in its util.go) follows log2 of the size while the exchange's
// bytes follow the size, and it staggers the members over the unscaled interval only (pushPullTrigger in its state.go), so
// that a large fleet exchanges all at once and then pauses. Here each exchange has a wait of its own.

package membership

import (
	"math/rand/v2"
	"time"
)

const (
	paceFrom = 32 // members up to which nothing is slowed

	// exchangePerMember is what the interval of the full exchange grows by for each member past paceFrom. An exchange sends
	// the whole view both ways and each member is in two an interval, so that its bytes a second, both directions, tend to
	// 4 x (bytes of one member's state) / exchangePerMember, whatever the size.
	exchangePerMember = 600 * time.Millisecond
	// exchangeGrowth is between a new member's first waits, until they reach the interval for the size: what it missed while
	// others joined beside it comes soon.
	exchangeGrowth = 4

	retryEvery = time.Second // between two tries of a seed or of a dead member, up to paceFrom members

	// loadChangePerMember is the least between two changes of a record that only tell load, for each member in the view:
	// all others hear each change, so that a whole fleet makes four a second at the most, whatever its size.
	loadChangePerMember = 250 * time.Millisecond
	leastLoadChange     = time.Second
)

// ExchangeEvery is the mean time between two full exchanges that a member begins, some time after its start.
func ExchangeEvery(sync time.Duration, members int) time.Duration {
	return sync + time.Duration(max(members-paceFrom, 0))*exchangePerMember
}

// retryChance is the chance with which a member tries a dead one at a tick: past paceFrom members the whole fleet makes as
// many tries a second as paceFrom members do.
func retryChance(members int) float64 {
	return min(1, paceFrom/float64(max(members, 1)))
}

// loadChangeEvery is the least time between two changes of a record that only tell load.
func loadChangeEvery(members int) time.Duration {
	return max(leastLoadChange, time.Duration(members)*loadChangePerMember)
}

// jitter draws from 3/4 to 5/4 of a wait, so that members that started together do not stay in step.
func jitter(wait time.Duration) time.Duration {
	return wait*3/4 + rand.N(max(wait/2, 1))
}
