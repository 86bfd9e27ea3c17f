package members

import (
	"fmt"
	"sync/atomic"
	"time"

	"thymechute/internal/fleet/membership"
)

const (
	seedCount    = 3
	leaveTimeout = time.Second
	maxMembers   = 10_000
)

// hollowMember is a member without an instance. It implements membership.Watcher.
type hollowMember struct {
	fleet    *fleet
	index    int
	name     string // unique in the fleet
	bind     string
	region   int
	member   *membership.Member
	isLive   atomic.Bool
	viewSize atomic.Int64 // members in its view
	rank     int
}

// start joins the fleet by a few members.
func (h *hollowMember) start() error {
	h.viewSize.Store(0)
	var err error
	h.member, err = membership.Start(membership.Config{
		Name:          h.name,
		Bind:          h.bind,
		Seeds:         h.seeds(),
		MaxMembers:    maxMembers,
		Record:        h.record(),
		ProbeInterval: h.fleet.probeInterval,
		SyncInterval:  h.fleet.syncInterval,
		WrapTransport: func(inner membership.Transport) membership.Transport {
			return newTransport(inner, h.fleet.meter, h.fleet.network, h.region)
		},
	}, h)
	if err != nil {
		return fmt.Errorf("%s: %w", h.name, err)
	}
	h.isLive.Store(true)
	return nil
}

// seeds returns the addresses of up to seedCount other members.
func (h *hollowMember) seeds() (addresses []string) {
	for n := 0; n <= seedCount && len(addresses) < seedCount; n++ {
		if n != h.index && n < len(h.fleet.members) {
			addresses = append(addresses, h.fleet.members[n].bind)
		}
	}
	return addresses
}

// kill ends the member without a graceful shutdown.
func (h *hollowMember) kill() {
	h.fleet.expectDeparture(h.name)
	h.isLive.Store(false)
	_ = h.member.Shutdown()
}

// leave ends the member as the program does when it drains.
func (h *hollowMember) leave() {
	h.fleet.expectDeparture(h.name)
	h.isLive.Store(false)
	_ = h.member.Leave(leaveTimeout)
}

// record returns a record as full as that of an instance with a replicated log and a rank: the longest that the program
// makes.
func (h *hollowMember) record() membership.Record {
	mixed := mix(h.index)
	epoch := 1_790_000_000_000 + mixed%1_000_000_000
	return membership.Record{
		Zone:         fmt.Sprintf("region-%d-zone-%d", h.region, h.index/regionCount%zonesPerRegion),
		Epoch:        epoch,
		Rank:         h.rank,
		Process:      fmt.Sprintf("%s#%x", h.name, epoch),
		AppliedIndex: 1_000_000,
		LogAddress:   fmt.Sprintf("10.%d.%d.%d:7947", mixed>>8%256, mixed>>16%256, mixed>>24%256),
	}
}

// Joined implements membership.Watcher.
func (h *hollowMember) Joined(membership.Record) { h.viewSize.Add(1) }

// Updated implements membership.Watcher.
func (h *hollowMember) Updated(membership.Record) {}

// Rejected implements membership.Watcher.
func (h *hollowMember) Rejected(string, error) {}

// Left implements membership.Watcher.
func (h *hollowMember) Left(name string) {
	h.viewSize.Add(-1)
	h.fleet.reportDeparture(h, name)
}

// memberName returns the name of the n-th member. Names differ as much as those of hosts do: names with long common parts would
// compress too well.
func memberName(n int) string { return fmt.Sprintf("checkout-%010x", mix(n)%(1<<40)) }

// mix spreads the bits of a number.
func mix(n int) uint64 {
	const goldenRatio, multiplier = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9
	x := uint64(n+1) * goldenRatio
	x = (x ^ x>>30) * multiplier
	return x ^ x>>31
}
