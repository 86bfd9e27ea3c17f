package membership

import (
	"math/rand/v2"
	"time"
)

const (
	maxUnscaledMembers = 32 // in fleets of up to this size the intervals are not extended

	// pushPullPerMember is added to the push/pull interval for each member beyond maxUnscaledMembers. An exchange transfers
	// the whole view in both directions and each member takes part in two per interval, so that the traffic of a member
	// approaches 4 x (bytes of one member's state) / pushPullPerMember in large fleets, whatever their size.
	pushPullPerMember = 600 * time.Millisecond

	// initialPushPullGrowth is the factor by which the time between a new member's first push/pulls grows.
	initialPushPullGrowth = 4

	reconnectInterval = time.Second // between two attempts to contact a seed or a dead member

	// loadUpdatePerMember, multiplied by the number of members in the view, is the minimum time between two load updates of
	// a member. Every member receives every update, so their rate is bounded for the whole fleet: four per second.
	loadUpdatePerMember   = 250 * time.Millisecond
	minLoadUpdateInterval = time.Second
)

// PushPullInterval returns the mean time between two push/pull exchanges that a member initiates, after its first ones: base
// in fleets of up to 32 members, and 600 ms more for each further member.
func PushPullInterval(base time.Duration, members int) time.Duration {
	return base + time.Duration(max(members-maxUnscaledMembers, 0))*pushPullPerMember
}

// reconnectProbability returns the probability with which a member contacts a dead one at each reconnectInterval, such that
// a fleet of any size makes on average at most maxUnscaledMembers attempts per interval.
func reconnectProbability(members int) float64 {
	return min(1, maxUnscaledMembers/float64(max(members, 1)))
}

// loadUpdateInterval returns the minimum time between two announcements of a record in which only the load has changed.
func loadUpdateInterval(members int) time.Duration {
	return max(minLoadUpdateInterval, time.Duration(members)*loadUpdatePerMember)
}

// jitter returns a random time from 3/4 to 5/4 of wait, so that members that started together do not stay synchronized.
func jitter(wait time.Duration) time.Duration {
	return wait*3/4 + rand.N(max(wait/2, 1))
}
