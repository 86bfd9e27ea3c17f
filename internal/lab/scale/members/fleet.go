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
	startInterval  = 20 * time.Millisecond // between the starts of members
	pollInterval   = 20 * time.Millisecond
)

var errDisagreement = errors.New("members: sizes of views differ from the number of live members")

// fleet holds the hollow members of one process. Its tables have one entry per member.
type fleet struct {
	probeInterval, syncInterval time.Duration
	meter                       *meter
	network                     *network

	mu         sync.Mutex // guards the fields below
	members    []*hollowMember
	departures map[string]*departure // observed departures of members that were killed or left, by name

	falseDeaths atomic.Int64 // removals of a live member from the view of another in the same partition
}

// departure records when the other members removed a member from their views.
type departure struct {
	first, last time.Time
	reports     int // number of removals
}

func newFleet(probeInterval, syncInterval time.Duration) *fleet {
	return &fleet{probeInterval: probeInterval, syncInterval: syncInterval, meter: &meter{}, network: newNetwork(),
		departures: map[string]*departure{}}
}

// grow starts members until the fleet has that size.
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

// liveMembers returns the running members in the order of their first start.
func (f *fleet) liveMembers() (live []*hollowMember) {
	for _, h := range f.members {
		if h.isLive.Load() {
			live = append(live, h)
		}
	}
	return live
}

// waitForAgreement waits until the view of every live member has as many members as there are live ones.
func (f *fleet) waitForAgreement(ctx context.Context, timeout time.Duration) error {
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
			return fmt.Errorf("%w: %d of %d views after %v", errDisagreement, disagreeing, len(live), timeout)
		}
		if err := scale.Wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// sidesAgree reports whether, during a partition of a region, the view of every member has as many members as its side has.
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

// recordDeparture starts recording when the other members remove a member from their views.
func (f *fleet) recordDeparture(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departures[name] = &departure{}
}

// takeDeparture stops recording a departure and returns it; nil if none is recorded.
func (f *fleet) takeDeparture(name string) *departure {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.departures[name]
	delete(f.departures, name)
	return d
}

// observeDeparture handles the removal of a member from the view of another. It counts as a false death if the departure is not
// recorded and both members are live and on the same side of the partition.
func (f *fleet) observeDeparture(by *hollowMember, name string) {
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
		if h.name == name && h.isLive.Load() && by.isLive.Load() && !f.network.drops(by.region, h.bind) {
			f.falseDeaths.Add(1)
		}
	}
}

// shutdown stops all members without a graceful leave.
func (f *fleet) shutdown() {
	var done sync.WaitGroup
	for _, h := range f.liveMembers() {
		h.isLive.Store(false)
		done.Go(func() { _ = h.member.Shutdown() })
	}
	done.Wait()
}
