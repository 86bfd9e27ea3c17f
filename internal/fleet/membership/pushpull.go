package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	seedPushPullEvery  = 4 // one in this many push/pulls is followed by one with a seed that is not in the view
	leavePushPullCount = 2 // push/pulls with members that stay, before a member leaves
)

// pushPullLoop exchanges state at intervals until the member stops. The intervals have jitter. The first ones are short and
// grow to that for the size of the fleet, so that a new member soon learns of others that joined at the same time.
func (m *Member) pushPullLoop(base time.Duration, seeds []string) {
	wait := base
	for round := 0; ; round++ {
		interval := PushPullInterval(base, m.list.NumMembers())
		select {
		case <-m.stop:
			return
		case <-time.After(jitter(min(wait, interval))):
		}
		m.PushPull()
		if round%seedPushPullEvery == 0 {
			m.pushPullWithUnknownSeed(seeds)
		}
		if wait < interval {
			wait *= initialPushPullGrowth
		}
	}
}

// PushPull exchanges the full state with a random member, in addition to the regular exchanges, and returns after the
// exchange. If the other member cannot be reached, nothing happens.
func (m *Member) PushPull() {
	if addresses := m.otherAddresses(); len(addresses) > 0 {
		m.pushPullWith(randomAddress(addresses))
	}
}

// pushPullWith exchanges the full state with the member at an address. It returns false if that cannot be reached.
func (m *Member) pushPullWith(address string) bool {
	reached, _ := m.list.Join([]string{address})
	return reached > 0
}

// pushPullWithUnknownSeed exchanges state with a seed that is not in the view, if there is one, so that groups that formed
// around different seeds merge.
func (m *Member) pushPullWithUnknownSeed(seeds []string) {
	known := m.otherAddresses()
	unknown := slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return slices.Contains(known, seed) })
	if len(unknown) > 0 {
		m.pushPullWith(randomAddress(unknown))
	}
}

// pushPullBeforeLeave exchanges state with some members that stay, for at most timeout. If many members leave at once, gossip
// may have announced this departure only to others that leave too. The members that stay would then detect it only by
// health checks.
func (m *Member) pushPullBeforeLeave(timeout time.Duration) {
	staying := m.stayingAddresses()
	rand.Shuffle(len(staying), func(a, b int) { staying[a], staying[b] = staying[b], staying[a] })
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, address := range staying[:min(leavePushPullCount, len(staying))] {
			m.pushPullWith(address)
		}
	}()
	select {
	case <-done:
	case <-time.After(timeout): // Shutdown ends what is still in progress
	}
}

// stayingAddresses returns the addresses of the other members that are not leaving.
func (m *Member) stayingAddresses() (addresses []string) {
	view := m.View()
	self := m.list.LocalNode().Name
	for _, node := range m.list.Members() {
		record, known := view[node.Name]
		if node.Name != self && known && record.Flag != FlagLeaving {
			addresses = append(addresses, node.Address())
		}
	}
	return addresses
}

// otherAddresses returns the addresses of all other members.
func (m *Member) otherAddresses() (addresses []string) {
	self := m.list.LocalNode().Name
	for _, node := range m.list.Members() {
		if node.Name != self {
			addresses = append(addresses, node.Address())
		}
	}
	return addresses
}

func randomAddress(addresses []string) string { return addresses[rand.IntN(len(addresses))] }
