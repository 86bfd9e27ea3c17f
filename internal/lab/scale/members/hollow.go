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

// hollowMember is a member without the rest of an instance. It implements membership.Watcher.
type hollowMember struct {
	fleet    *fleet
	index    int
	name     string // unique in the fleet
	bind     string
	region   int
	member   *membership.Member
	isLive   atomic.Bool
	viewSize atomic.Int64 // number of members in its view
	rank     int
}

// start starts the member, which joins the fleet through its seeds.
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
		return fmt.Errorf("start member %s: %w", h.name, err)
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

// kill stops the member without a graceful leave.
func (h *hollowMember) kill() {
	h.fleet.recordDeparture(h.name)
	h.isLive.Store(false)
	_ = h.member.Shutdown()
}

// leave stops the member with a graceful leave, as the program does when it is drained.
func (h *hollowMember) leave() {
	h.fleet.recordDeparture(h.name)
	h.isLive.Store(false)
	_ = h.member.Leave(leaveTimeout)
}

// record returns a record with all fields of an instance that has a replicated log and a rank: the longest record that the program
// publishes.
func (h *hollowMember) record() membership.Record {
	mixed := mixBits(h.index)
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
	h.fleet.observeDeparture(h, name)
}

// memberName returns the name of the n-th member. Names differ as much as host names do; names with long common parts would compress
// unrealistically well.
func memberName(n int) string { return fmt.Sprintf("checkout-%010x", mixBits(n)%(1<<40)) }

// mixBits returns a pseudo-random number that depends on n only.
func mixBits(n int) uint64 {
	const goldenRatio, multiplier = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9
	x := uint64(n+1) * goldenRatio
	x = (x ^ x>>30) * multiplier
	return x ^ x>>31
}
