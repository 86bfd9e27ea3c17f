package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// reconnectTimeout is how long a dead member is contacted again. It is the only way in which a partition heals that
// lasted longer than memberlist's gossip to the dead (15 s locally): each side has declared the other dead.
const reconnectTimeout = 10 * time.Minute

// deadMember is a member that was declared dead.
type deadMember struct {
	address string
	since   time.Time
}

// reconnectLoop runs until the member stops.
func (m *Member) reconnectLoop(seeds []string) {
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	for {
		m.reconnect(seeds)
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
	}
}

// reconnect tries the seeds while no other member is known, as they may start later or all be down for a while.
// Otherwise it tries one dead member, with the probability for the size of the fleet.
func (m *Member) reconnect(seeds []string) {
	members := m.list.NumMembers()
	if len(seeds) > 0 && members <= 1 {
		m.joinAnySeed(seeds)
		return
	}
	if rand.Float64() >= reconnectProbability(members) {
		return
	}
	if address := m.nextDeadAddress(); address != "" {
		m.pushPullWith(address)
	}
}

// joinAnySeed joins by the first seed that answers, starting at a random one, as each join costs its seed a transfer of
// the whole view.
func (m *Member) joinAnySeed(seeds []string) {
	first := rand.IntN(len(seeds))
	for n := range seeds {
		if m.pushPullWith(seeds[(first+n)%len(seeds)]) {
			return
		}
	}
}

// nextDeadAddress returns the address of the dead member that is next in turn, "" for none, and forgets those that have
// been dead for longer than reconnectTimeout.
func (m *Member) nextDeadAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.dead, func(_ string, member deadMember) bool { return time.Since(member.since) > reconnectTimeout })
	if len(m.dead) == 0 {
		return ""
	}
	names := slices.Sorted(maps.Keys(m.dead))
	m.reconnectAttempts++
	return m.dead[names[m.reconnectAttempts%len(names)]].address
}
