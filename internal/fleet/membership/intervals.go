package membership

import (
	"math/rand/v2"
	"time"
)

const (
	unscaledMembers = 32 // fleets of up to this many members are not slowed

	// pushPullPerMember extends the push/pull interval for each member beyond unscaledMembers. An exchange transfers the
	// whole view in both directions and each member takes part in two per interval, so that its traffic tends to
	// 4 x (bytes of one member's state) / pushPullPerMember, whatever the size of the fleet.
	pushPullPerMember = 600 * time.Millisecond

	// firstPushPullGrowth is the factor between a new member's first waits.
	firstPushPullGrowth = 4

	reconnectInterval = time.Second // between two attempts to reach a seed or a dead member

	// loadUpdatePerMember is the minimal time between two load updates of a member, for each member in the view. All
	// members receive each update, so that the fleet as a whole makes at most four per second.
	loadUpdatePerMember   = 250 * time.Millisecond
	minLoadUpdateInterval = time.Second
)

// PushPullInterval returns the mean time between two push/pull exchanges that a member begins, after its first ones: base
// in fleets of up to 32 members, and 600 ms more for each further member.
func PushPullInterval(base time.Duration, members int) time.Duration {
	return base + time.Duration(max(members-unscaledMembers, 0))*pushPullPerMember
}

// reconnectProbability returns the probability with which a member tries a dead one at each reconnectInterval, so that
// a fleet of any size makes at most unscaledMembers attempts per interval.
func reconnectProbability(members int) float64 {
	return min(1, unscaledMembers/float64(max(members, 1)))
}

// loadUpdateInterval returns the minimal time between two announcements of a record of which only the load changed.
func loadUpdateInterval(members int) time.Duration {
	return max(minLoadUpdateInterval, time.Duration(members)*loadUpdatePerMember)
}

// jitter returns a random time from 3/4 to 5/4 of wait, so that members that started together do not stay in step.
func jitter(wait time.Duration) time.Duration {
	return wait*3/4 + rand.N(max(wait/2, 1))
}
