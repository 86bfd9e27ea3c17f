// This file owns finding the others: the seeds, the members declared dead, and the full exchange of state with one member
// (push and pull) that repairs what gossip missed. It must never run two exchanges of one kind at once.

package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const seedEvery = 4 // exchanges to one with a seed that is not in the view, if there is one; the first is with one

// rejoin runs until the end. While this member knows no other it tries the seeds every second: they may come up later than
// it, or all be gone for a while. Otherwise it tries one member declared dead, in turn, so that the sides of a partition find
// each other again. One dial at a time.
func (m *Member) rejoin(seeds []string) {
	tick := time.NewTicker(retryEvery)
	defer tick.Stop()
	for {
		switch members := m.list.NumMembers(); {
		case len(seeds) > 0 && members <= 1:
			m.joinOne(seeds)
		case rand.Float64() < retryChance(members):
			if address := m.nextGone(); address != "" {
				_, _ = m.list.Join([]string{address})
			}
		}
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
	}
}

// joinOne joins by the first seed that answers, from a place in the list by chance: each join costs its seed the whole view.
// None answering is no error: the member stands alone until one joins it.
func (m *Member) joinOne(seeds []string) {
	first := rand.IntN(len(seeds))
	for n := range seeds {
		if joined, _ := m.list.Join(seeds[(first+n)%len(seeds) : (first+n)%len(seeds)+1]); joined > 0 {
			return
		}
	}
}

// exchange runs until the end: a full exchange with one member at a time, soon after the start and then at the pace of the
// size.
func (m *Member) exchange(sync time.Duration, seeds []string) {
	step := sync
	for turn := 0; ; turn++ {
		regular := ExchangeEvery(sync, m.list.NumMembers())
		select {
		case <-m.stop:
			return
		case <-time.After(jitter(min(step, regular))):
		}
		m.Exchange()
		if turn%seedEvery == 0 {
			m.meetSeed(seeds)
		}
		if step < regular {
			step *= exchangeGrowth
		}
	}
}

// Exchange begins one full exchange with a member by chance, beside those that it begins by itself, and waits for its end.
func (m *Member) Exchange() {
	if addresses := m.others(); len(addresses) > 0 {
		_, _ = m.list.Join(pick(addresses)) // not reached: the next exchange is with another
	}
}

// partWith is with how many of those that stay a leaving member exchanges last.
const partWith = 2

// part exchanges with some members that stay, within the limit. Where many leave at once gossip may have told of this one only
// to others that leave as well; those that stay would find it dead by their probes, a second later.
func (m *Member) part(limit time.Duration) {
	stay := m.staying()
	rand.Shuffle(len(stay), func(a, b int) { stay[a], stay[b] = stay[b], stay[a] })
	over := make(chan struct{})
	go func() {
		defer close(over)
		for _, address := range stay[:min(partWith, len(stay))] {
			_, _ = m.list.Join([]string{address})
		}
	}()
	select {
	case <-over:
	case <-time.After(limit): // the shutdown ends what is still under way
	}
}

// staying are the addresses of the other members in the view that are not leaving.
func (m *Member) staying() (addresses []string) {
	view := m.View()
	self := m.list.LocalNode().Name
	for _, node := range m.list.Members() {
		record, known := view[node.Name]
		if node.Name != self && known && record.Flag != "leaving" {
			addresses = append(addresses, node.Address())
		}
	}
	return addresses
}

// meetSeed exchanges with a seed that is not in the view, if there is one, so that two groups that grew from different seeds
// become one.
func (m *Member) meetSeed(seeds []string) {
	known := m.others()
	strangers := slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return slices.Contains(known, seed) })
	if len(strangers) > 0 {
		_, _ = m.list.Join(pick(strangers)) // gone, or not up yet
	}
}

// others are the addresses of all members in the view but itself.
func (m *Member) others() (addresses []string) {
	self := m.list.LocalNode().Name
	for _, node := range m.list.Members() {
		if node.Name != self {
			addresses = append(addresses, node.Address())
		}
	}
	return addresses
}

func pick(addresses []string) []string { return []string{addresses[rand.IntN(len(addresses))]} }

// nextGone is the address of the next dead member to try, "" for none; those past reconnectFor are dropped.
func (m *Member) nextGone() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.gone))
	for name, g := range m.gone {
		if time.Since(g.since) > reconnectFor {
			delete(m.gone, name)
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	m.turn++
	return m.gone[names[m.turn%len(names)]].address
}
