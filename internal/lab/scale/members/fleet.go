// This file owns the hollow members of one process and what each of them knows. It must never leave one running.

package members

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"thymechute/internal/fleet/membership"
	"thymechute/internal/lab/scale"
)

const (
	regions      = scale.TargetRegions
	zonesEach    = scale.TargetZones / regions
	seedCount    = 3
	leaveWithin  = time.Second
	startPause   = 20 * time.Millisecond // between two starts
	pollEvery    = 20 * time.Millisecond
	probeDefault = time.Second // as the program's operator file has it by default
	syncDefault  = 5 * time.Second
)

var errNotAgreed = errors.New("members: not agreed in time")

// fleet is the hollow members. Its tables hold one entry a member.
type fleet struct {
	probe, sync time.Duration
	meter       *meter
	network     *network

	mu      sync.Mutex
	hollows []*hollow
	deaths  map[string]*death // of members that were killed or left, by name

	falseDeaths atomic.Int64 // a live member, on this side of any cut, declared gone
}

// death is when the others heard that a member is gone.
type death struct {
	at          time.Time
	first, last time.Time
	heard       int
}

// hollow is one member with nothing round it. It implements membership.Watcher.
type hollow struct {
	fleet  *fleet
	index  int
	name   string
	bind   string
	region int
	member *membership.Member
	live   atomic.Bool
	known  atomic.Int64 // members in its view
	rank   int
}

func newFleet(probe, sync time.Duration) *fleet {
	return &fleet{probe: probe, sync: sync, meter: &meter{}, network: newNetwork(), deaths: map[string]*death{}}
}

// address is of the n-th member: an IP of its own in 127.0.0.0/8 and a port, both by this process's id, so that two runs at
// once do not meet.
func address(n int) string {
	const networks, ports = 200, 10_000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+pid%networks, n/250, n%250+1, 20_000+pid/networks%ports)
}

func (f *fleet) grow(ctx context.Context, size int) error {
	for n := len(f.hollows); n < size; n++ {
		h := &hollow{fleet: f, index: n, name: name(n), bind: address(n), region: n % regions, rank: n}
		f.network.place(h.bind, h.region)
		f.mu.Lock()
		f.hollows = append(f.hollows, h)
		f.mu.Unlock()
		if err := h.start(); err != nil {
			return err
		}
		if err := wait(ctx, startPause); err != nil {
			return err
		}
	}
	return nil
}

// seeds are a few members, none of them this one.
func (h *hollow) seeds() (addresses []string) {
	for n := 0; n <= seedCount && len(addresses) < seedCount; n++ {
		if n != h.index && n < len(h.fleet.hollows) {
			addresses = append(addresses, h.fleet.hollows[n].bind)
		}
	}
	return addresses
}

func (h *hollow) start() error {
	h.known.Store(0)
	var err error
	h.member, err = membership.Start(membership.Config{
		Name: h.name, Bind: h.bind, Seeds: h.seeds(), MaxMembers: 10_000, ProbeInterval: h.fleet.probe, SyncInterval: h.fleet.sync, Record: h.record(),
		WrapTransport: func(inner membership.Transport) membership.Transport {
			return newTransport(inner, h.fleet.meter, h.fleet.network, h.region)
		},
	}, h)
	if err != nil {
		return fmt.Errorf("%s: %w", h.name, err)
	}
	h.live.Store(true)
	return nil
}

// record is as full as that of an instance that follows the agreed log and has claimed its rank: the longest that the
// program makes.
func (h *hollow) record() membership.Record {
	mixed := mix(h.index)
	epoch := 1_790_000_000_000 + mixed%1_000_000_000
	return membership.Record{Zone: fmt.Sprintf("region-%d-zone-%d", h.region, h.index/regions%zonesEach), Epoch: epoch, Rank: h.rank,
		Process: fmt.Sprintf("%s#%x", h.name, epoch), AppliedIndex: 1_000_000,
		LogAddress: fmt.Sprintf("10.%d.%d.%d:7947", mixed>>8%256, mixed>>16%256, mixed>>24%256)}
}

// name is like a host's, with as little in common as those have: what compresses well would cost too little.
func name(n int) string { return fmt.Sprintf("checkout-%010x", mix(n)%(1<<40)) }

// mix spreads the bits of a number.
func mix(n int) uint64 {
	const golden, stir = 0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9
	x := uint64(n+1) * golden
	x = (x ^ x>>30) * stir
	return x ^ x>>31
}

func (h *hollow) Joined(membership.Record)  { h.known.Add(1) }
func (h *hollow) Updated(membership.Record) {}
func (h *hollow) Rejected(string, error)    {}

func (h *hollow) Left(name string) {
	h.known.Add(-1)
	h.fleet.left(h, name)
}

func (f *fleet) left(by *hollow, name string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.deaths[name]; d != nil {
		if d.heard == 0 {
			d.first = now
		}
		d.last = now
		d.heard++
		return
	}
	var gone *hollow
	for _, h := range f.hollows {
		if h.name == name {
			gone = h
		}
	}
	if gone != nil && gone.live.Load() && by.live.Load() && !f.network.cuts(by.region, gone.bind) {
		f.falseDeaths.Add(1)
	}
}

// watchDeath begins to note who hears of a member's end.
func (f *fleet) watchDeath(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaths[name] = &death{at: time.Now()}
}

func (f *fleet) forgetDeath(name string) *death {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.deaths[name]
	delete(f.deaths, name)
	return d
}

// kill ends a member with no word to the others.
func (h *hollow) kill() {
	h.fleet.watchDeath(h.name)
	h.live.Store(false)
	_ = h.member.Shutdown()
}

// leave ends it as the program's notice does.
func (h *hollow) leave() {
	h.fleet.watchDeath(h.name)
	h.live.Store(false)
	_ = h.member.Leave(leaveWithin)
}

func (f *fleet) live() (out []*hollow) {
	for _, h := range f.hollows {
		if h.live.Load() {
			out = append(out, h)
		}
	}
	return out
}

// agree waits until every live member holds all live members, and no other, in its view.
func (f *fleet) agree(ctx context.Context, within time.Duration) (time.Duration, error) {
	return f.agreeAmong(ctx, f.live(), within)
}

func (f *fleet) agreeAmong(ctx context.Context, among []*hollow, within time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		apart := 0
		for _, h := range among {
			if int(h.known.Load()) != len(among) {
				apart++
			}
		}
		if apart == 0 {
			return time.Since(start), nil
		}
		if time.Since(start) > within {
			return time.Since(start), fmt.Errorf("%w: %d of %d apart after %v", errNotAgreed, apart, len(among), within)
		}
		if err := wait(ctx, pollEvery); err != nil {
			return 0, err
		}
	}
}

// end leaves nobody running; it asks nobody's leave.
func (f *fleet) end() {
	var done sync.WaitGroup
	for _, h := range f.live() {
		h.live.Store(false)
		done.Go(func() { _ = h.member.Shutdown() })
	}
	done.Wait()
}

func wait(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(pause):
		return nil
	}
}
