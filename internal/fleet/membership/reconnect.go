package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// reconnectTimeout is how long after its death a dead member is contacted again. If a partition lasts longer than memberlist
// gossips to dead members (15 s with its local defaults), each side has declared the other dead, and only this rejoins them.
const reconnectTimeout = 10 * time.Minute

// deadMember is a member that was declared dead.
type deadMember struct {
	address string
	since   time.Time
}

// reconnectLoop calls reconnect at each reconnectInterval until the member stops.
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

// reconnect contacts the seeds while no other member is known, as they may start later or be down for a while. Otherwise it
// contacts one dead member, with a probability that depends on the size of the fleet.
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

// joinAnySeed joins through the first seed that answers. It starts at a random one to spread the load, as each join costs the
// seed a transfer of the whole view.
func (m *Member) joinAnySeed(seeds []string) {
	first := rand.IntN(len(seeds))
	for n := range seeds {
		if m.pushPullWith(seeds[(first+n)%len(seeds)]) {
			return
		}
	}
}

// nextDeadAddress forgets members that have been dead for longer than reconnectTimeout, and returns the address of the dead
// member whose turn is next, or "" if there is none.
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
