package emulator

import (
	"time"

	"thymechute/internal/decide/rollout"
)

const (
	oldRelease = "old"
	newRelease = "new"
)

// emulatedInstance is one instance of an emulated fleet, with its successive incarnations.
type emulatedInstance struct {
	rollout.Instance
	drainedAt time.Duration // 0 unless it is draining
	startedAt time.Duration
	drains    int // number of drains in all incarnations
}

// drain starts to drain the instance. A drain at time 0 is recorded as 1 ns, as 0 means that the instance is not draining.
func (i *emulatedInstance) drain(now time.Duration) {
	i.drainedAt, i.IsDraining = max(now, 1), true
	i.drains++
}

// restart starts the next incarnation, with the new release.
func (i *emulatedInstance) restart(now time.Duration) {
	i.Incarnation, i.Release, i.IsDraining = i.Incarnation+1, newRelease, false
	i.startedAt, i.drainedAt = now, 0
}

func (i *emulatedInstance) isAvailable() bool { return i.drainedAt == 0 && !i.IsUnreachable }

// isDrainOver reports whether the instance is reachable and has been draining for drainTime.
func (i *emulatedInstance) isDrainOver(now, drainTime time.Duration) bool {
	return i.drainedAt != 0 && now-i.drainedAt >= drainTime && !i.IsUnreachable
}

// capacityAt returns the capacity, which is reduced while the instance is warming up.
func (i *emulatedInstance) capacityAt(now time.Duration, limits rollout.Limits) float64 {
	return i.Capacity * warmFraction(now-i.startedAt, limits)
}

// warmFraction returns the available fraction of the capacity at an age. It does not use package rollout, whose results it
// checks.
func warmFraction(age time.Duration, limits rollout.Limits) float64 {
	initial := limits.InitialCapacityFraction
	return min(1, initial+(1-initial)*age.Seconds()/limits.WarmUpTime.Seconds())
}

// emulatedFleet holds the instances of an emulated rollout.
type emulatedFleet []*emulatedInstance

// instancesAt returns the fleet as the rollout's leader sees it.
func (f emulatedFleet) instancesAt(now time.Duration) (instances []rollout.Instance) {
	for _, i := range f {
		i.Age = now - i.startedAt
		instances = append(instances, i.Instance)
	}
	return instances
}

// availableByZone returns the capacity of the available instances, by zone.
func (f emulatedFleet) availableByZone(now time.Duration, limits rollout.Limits) map[string]float64 {
	available := map[string]float64{}
	for _, i := range f {
		if i.isAvailable() {
			available[i.Zone] += i.capacityAt(now, limits)
		}
	}
	return available
}

// totalByZone returns the capacity of all instances by zone, as if all were available and warmed up.
func (f emulatedFleet) totalByZone() map[string]float64 {
	total := map[string]float64{}
	for _, i := range f {
		total[i.Zone] += i.Capacity
	}
	return total
}

func (f emulatedFleet) drainingVoters() (count int) {
	for _, i := range f {
		if i.IsVoter && i.drainedAt != 0 {
			count++
		}
	}
	return count
}

// setLeader makes one instance the rollout's leader.
func (f emulatedFleet) setLeader(leader int) {
	for n, i := range f {
		i.IsLeader = n == leader
	}
}

// completedFraction returns the fraction of the fleet that runs the new release.
func (f emulatedFleet) completedFraction() (fraction float64) {
	for _, i := range f {
		if i.Release == newRelease {
			fraction += 1 / float64(len(f))
		}
	}
	return fraction
}
