package rollout

import (
	"fmt"
	"time"
)

// Instance is the current state of one process in the fleet.
type Instance struct {
	Name, Zone, Release string
	Incarnation         uint64        // differs between processes of the same name
	Capacity            float64       // work items per second when warmed up; above 0
	Age                 time.Duration // time since its start
	IsUnreachable       bool
	IsDraining          bool // for any reason
	IsVoter             bool // of the replicated log
	IsLeader            bool // leads the rollout
	BlocksMigration     bool // a slot migration waits for it, so it must not be drained
}

// Limits are the operator's settings for a rollout, and the assumed warm-up of a restarted instance.
type Limits struct {
	MinCapacityFraction     float64       // fraction of a zone's total capacity that must remain available; 0 to 1
	LoadHeadroom            float64       // multiple of a zone's load that must remain available as capacity; 0 or more
	MaxUnavailable          int           // maximum number of instances being replaced at the same time; 1 or more
	ReplaceTimeout          time.Duration // from the drain to the restart with the new release; stuck after this
	InitialCapacityFraction float64       // fraction of its capacity that an instance has at its start
	WarmUpTime              time.Duration // age from which an instance has its full capacity
}

// warmFraction returns the fraction of its capacity that an instance of a given age has.
func (l Limits) warmFraction(age time.Duration) float64 {
	if age >= l.WarmUpTime {
		return 1
	}
	return l.InitialCapacityFraction + (1-l.InitialCapacityFraction)*max(age, 0).Seconds()/l.WarmUpTime.Seconds()
}

// zone holds the capacity of one zone, in work items per second.
type zone struct {
	name              string
	totalCapacity     float64 // of all known instances, as if available and warmed up
	availableCapacity float64 // of instances that are reachable and not draining, by their present warm-up
	largestCapacity   float64 // of the largest available instance: the loss if it fails
	availableCount    int     // number of available instances
	requiredCapacity  float64 // minimum that must remain available
}

// spareCapacity returns how much capacity may be drained so that the zone keeps its required capacity even if its largest
// instance fails.
func (z zone) spareCapacity() float64 {
	return z.availableCapacity - z.largestCapacity - z.requiredCapacity
}

// canSpare reports whether an instance of this capacity may be drained in addition to those already chosen in the zone.
// At least one instance of the zone must remain available.
func (z *zone) canSpare(capacity, chosenCapacity float64, chosenCount int) bool {
	const relativeTolerance = 1e-12
	return chosenCapacity+capacity <= z.spareCapacity()*(1+relativeTolerance) && z.availableCount-chosenCount > 1
}

// zones sums up the capacity of a fleet by zone. load is the present load by zone, in work items per second.
func (l Limits) zones(fleet []Instance, load map[string]float64) map[string]*zone {
	zones := map[string]*zone{}
	for _, i := range fleet {
		z := zones[i.Zone]
		if z == nil {
			z = &zone{name: i.Zone}
			zones[i.Zone] = z
		}
		z.totalCapacity += i.Capacity
		if i.IsUnreachable || i.IsDraining {
			continue
		}
		z.availableCapacity += i.Capacity * l.warmFraction(i.Age)
		z.largestCapacity = max(z.largestCapacity, i.Capacity)
		z.availableCount++
	}
	for _, z := range zones {
		z.requiredCapacity = max(l.MinCapacityFraction*z.totalCapacity, l.LoadHeadroom*load[z.name])
	}
	return zones
}

// InsufficientCapacityError reports that a zone cannot spare the capacity of an instance to be drained. Plan returns it, so
// the rollout is rejected before any drain.
type InsufficientCapacityError struct {
	Zone          string
	Available     float64 // capacity now available, in work items per second
	Required      float64 // required capacity plus that of the largest instance, in case it fails
	DrainCapacity float64 // of the instance to be drained
}

// Error names the zone and the missing capacity, in work items per second.
func (e *InsufficientCapacityError) Error() string {
	const format = "rollout: zone %s has %.6g work items/s available, expected %.6g (required capacity plus its largest instance) " +
		"plus %.6g for the instance to drain: %.6g missing"
	return fmt.Sprintf(format,
		e.Zone, e.Available, e.Required, e.DrainCapacity, e.Required+e.DrainCapacity-e.Available)
}
