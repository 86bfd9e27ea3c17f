// Package roll plans in which order instances are drained for a new release, so that no zone's capacity drops under
// its floor, and lets each go only on the state as it is then. It owns the floors, the waves and who has been drained,
// and must never do I/O, read a clock, start a goroutine or draw chance: the owner of the duty "roll" runs it, and each
// drain is an entry of the agreed log, so that a successor goes on where its forerunner stopped.
//
// Tables: a Roll holds one entry a process drained, at most MostInstances, emptied where the wanted release changes.
package rollout

import (
	"fmt"
	"time"
)

// MostInstances of a fleet.
const MostInstances = 10000

// Instance is one process as the fleet's records have it now.
type Instance struct {
	Name, Zone, Release string
	Life                uint64        // differs in each process of a name
	Capacity            float64       // work items a second once warm, over 0
	Age                 time.Duration // since its start
	Silent              bool          // not heard of: it counts as gone
	Leaving             bool          // has been told to drain, by whomever
	Voter, Owner        bool          // votes in the log; holds the duty "roll"
	Busy                bool          // a move of the ring waits for it
}

// Bounds are the operator's.
type Bounds struct {
	Keep      float64       // part of a zone's whole capacity that stays, 0 to 1
	OverLoad  float64       // multiple of the zone's present load that stays, 0 and more
	AtOnce    int           // instances on their way at once, 1 and more
	Longest   time.Duration // from its drain to its return at the new release; longer is stuck
	ColdFrom  float64       // part of its capacity that a fresh instance has at least
	WarmAfter time.Duration // when it has all of it
}

// warm is the part of its capacity that an instance has at an age, as the settings promise it.
func (b Bounds) warm(age time.Duration) float64 {
	if age >= b.WarmAfter {
		return 1
	}
	return b.ColdFrom + (1-b.ColdFrom)*max(age, 0).Seconds()/b.WarmAfter.Seconds()
}

// zone is what one zone has now.
type zone struct {
	name    string
	whole   float64 // of all that are known, as if up and warm
	have    float64 // of those up, as warm as they are, and not leaving
	largest float64 // of these, whole: what one more loss would take
	up      int     // of these
	floor   float64
}

// spare is what may be taken from a zone now, so that it keeps its floor and bears the loss of its largest.
func (z zone) spare() float64 { return z.have - z.largest - z.floor }

// zones sums a fleet up; load is a zone's present work items a second.
func (b Bounds) zones(fleet []Instance, load map[string]float64) map[string]*zone {
	out := map[string]*zone{}
	for _, i := range fleet {
		z := out[i.Zone]
		if z == nil {
			z = &zone{name: i.Zone}
			out[i.Zone] = z
		}
		z.whole += i.Capacity
		if i.Silent || i.Leaving {
			continue
		}
		z.have += i.Capacity * b.warm(i.Age)
		z.largest = max(z.largest, i.Capacity)
		z.up++
	}
	for _, z := range out {
		z.floor = max(b.Keep*z.whole, b.OverLoad*load[z.name])
	}
	return out
}

// Refusal is a roll that can't be done, before anybody is drained.
type Refusal struct {
	Zone             string
	Has, Needs, Away float64 // capacity up; floor with the largest one's loss; the least that a drain takes
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("roll: zone %s has %.6g of capacity, expected %.6g (its floor and its largest instance) and %.6g for one drain: %.6g missing",
		r.Zone, r.Has, r.Needs, r.Away, r.Needs+r.Away-r.Has)
}
