package members

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"thymechute/internal/lab/scale"
)

const (
	regionCount    = scale.TargetRegions
	zonesPerRegion = scale.TargetZones / regionCount
	startInterval  = 20 * time.Millisecond // between the starts of two members
	pollInterval   = 20 * time.Millisecond
)

var errDisagreement = errors.New("members: not agreed in time")

// fleet is the hollow members of one process. Its tables hold one entry per member.
type fleet struct {
	probeInterval, syncInterval time.Duration
	meter                       *meter
	network                     *network

	mu         sync.Mutex // guards the fields below
	members    []*hollowMember
	departures map[string]*departure // of members that were killed or left, by name

	falseDeaths atomic.Int64 // declarations of a live member that is not partitioned from the declaring one
}

// departure is when the other members have removed one from their views.
type departure struct {
	first, last time.Time
	reports     int
}

func newFleet(probeInterval, syncInterval time.Duration) *fleet {
	return &fleet{probeInterval: probeInterval, syncInterval: syncInterval, meter: &meter{}, network: newNetwork(),
		departures: map[string]*departure{}}
}

// grow starts members until there are size.
func (f *fleet) grow(ctx context.Context, size int) error {
	for n := len(f.members); n < size; n++ {
		h := &hollowMember{fleet: f, index: n, name: memberName(n), bind: scale.LoopbackAddress(n), region: n % regionCount, rank: n}
		f.network.assign(h.bind, h.region)
		f.mu.Lock()
		f.members = append(f.members, h)
		f.mu.Unlock()
		if err := h.start(); err != nil {
			return err
		}
		if err := scale.Wait(ctx, startInterval); err != nil {
			return err
		}
	}
	return nil
}

// liveMembers returns the members that are up, in the order of their first start.
func (f *fleet) liveMembers() (live []*hollowMember) {
	for _, h := range f.members {
		if h.isLive.Load() {
			live = append(live, h)
		}
	}
	return live
}

// agree waits until every live member has as many members in its view as are live.
func (f *fleet) agree(ctx context.Context, timeout time.Duration) error {
	live := f.liveMembers()
	for start := time.Now(); ; {
		disagreeing := 0
		for _, h := range live {
			if int(h.viewSize.Load()) != len(live) {
				disagreeing++
			}
		}
		if disagreeing == 0 {
			return nil
		}
		if time.Since(start) > timeout {
			return fmt.Errorf("%w: %d of %d apart after %v", errDisagreement, disagreeing, len(live), timeout)
		}
		if err := scale.Wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// sidesAgree tells whether, while a region is partitioned, every member has as many members in its view as its side has.
func (f *fleet) sidesAgree(region int) bool {
	live := f.liveMembers()
	inside := 0
	for _, h := range live {
		if h.region == region {
			inside++
		}
	}
	for _, h := range live {
		expected := len(live) - inside
		if h.region == region {
			expected = inside
		}
		if int(h.viewSize.Load()) != expected {
			return false
		}
	}
	return true
}

// expectDeparture starts to record which members remove a member from their views.
func (f *fleet) expectDeparture(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures[name] = &departure{}
}

// takeDeparture stops the recording of a departure and returns it; nil if there is none.
func (f *fleet) takeDeparture(name string) *departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.departures[name]
	delete(f.departures, name)
	return d
}

// reportDeparture notes that a member has removed another from its view.
func (f *fleet) reportDeparture(by *hollowMember, name string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.departures[name]; d != nil {
		if d.reports == 0 {
			d.first = now
		}
		d.last = now
		d.reports++
		return
	}
	for _, h := range f.members {
		if h.name == name && h.isLive.Load() && by.isLive.Load() && !f.network.separates(by.region, h.bind) {
			f.falseDeaths.Add(1)
		}
	}
}

// shutdown ends all members without a graceful shutdown.
func (f *fleet) shutdown() {
	var done sync.WaitGroup
	for _, h := range f.liveMembers() {
		h.isLive.Store(false)
		done.Go(func() { _ = h.member.Shutdown() })
	}
	done.Wait()
}
