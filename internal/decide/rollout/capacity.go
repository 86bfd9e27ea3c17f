package rollout

import (
	"fmt"
	"time"
)

// Instance is one process, as the fleet's records describe it now.
type Instance struct {
	Name, Zone, Release string
	Incarnation         uint64        // differs for each process of a name
	Capacity            float64       // work items a second once warmed up; over 0
	Age                 time.Duration // since its start
	IsUnreachable       bool          // counts as unavailable
	IsDraining          bool          // for any reason
	IsVoter             bool          // in the replicated log
	IsLeader            bool          // of the rollout
	BlocksMigration     bool          // a slot migration waits for it
}

// Limits are the operator's.
type Limits struct {
	MinCapacityFraction     float64       // of a zone's total capacity that must remain; 0 to 1
	LoadHeadroom            float64       // multiple of a zone's present load that must remain as capacity; 0 and more
	MaxUnavailable          int           // instances being replaced at the same time; 1 and more
	ReplaceTimeout          time.Duration // from the drain to the restart with the new release; stuck after this
	InitialCapacityFraction float64       // of its capacity that an instance has at its start
	WarmUpTime              time.Duration // after which it has all of its capacity
}

// warmFraction is the fraction of its capacity that an instance has at an age.
func (l Limits) warmFraction(age time.Duration) float64 {
	if age >= l.WarmUpTime {
		return 1
	}
	return l.InitialCapacityFraction + (1-l.InitialCapacityFraction)*max(age, 0).Seconds()/l.WarmUpTime.Seconds()
}

// zone is the capacity of one zone. Capacities are in work items a second.
type zone struct {
	name      string
	total     float64 // of all known instances, as if up and warmed up
	available float64 // of those that are up and not draining, at their present warm-up
	largest   float64 // capacity of the largest available instance: what one more failure would take
	upCount   int     // available instances
	required  float64 // must remain available
}

// spare is what may be taken from a zone while it keeps the required capacity even if its largest instance fails.
func (z zone) spare() float64 { return z.available - z.largest - z.required }

// canSpare reports whether an instance of this capacity may be drained beside those already chosen in the zone.
func (z *zone) canSpare(capacity, chosenCapacity float64, chosenCount int) bool {
	const relativeTolerance = 1e-12
	return chosenCapacity+capacity <= z.spare()*(1+relativeTolerance) && z.upCount-chosenCount > 1
}

// zones sums a fleet up by zone; load is a zone's present work items a second.
func (l Limits) zones(fleet []Instance, load map[string]float64) map[string]*zone {
	zones := map[string]*zone{}
	for _, i := range fleet {
		z := zones[i.Zone]
		if z == nil {
			z = &zone{name: i.Zone}
			zones[i.Zone] = z
		}
		z.total += i.Capacity
		if i.IsUnreachable || i.IsDraining {
			continue
		}
		z.available += i.Capacity * l.warmFraction(i.Age)
		z.largest = max(z.largest, i.Capacity)
		z.upCount++
	}
	for _, z := range zones {
		z.required = max(l.MinCapacityFraction*z.total, l.LoadHeadroom*load[z.name])
	}
	return zones
}

// InsufficientCapacityError is a rollout that a zone has not the capacity for. It is returned before any drain.
type InsufficientCapacityError struct {
	Zone          string
	Available     float64
	Required      float64 // with the failure of the largest instance
	DrainCapacity float64 // of the instance to be drained
}

// Error names the zone and the missing capacity.
func (e *InsufficientCapacityError) Error() string {
	const format = "rollout: zone %s has %.6g of capacity, expected %.6g (required, with its largest instance lost) " +
		"and %.6g for one drain: %.6g missing"
	return fmt.Sprintf(format,
		e.Zone, e.Available, e.Required, e.DrainCapacity, e.Required+e.DrainCapacity-e.Available)
}
