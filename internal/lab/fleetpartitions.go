package lab

import (
	"slices"
	"time"
)

// isolate partitions one member from all others and heals it.
func (e *fleetExperiment) isolate() error {
	isolated := e.live[len(e.live)/2]
	e.members.Network.Isolate(isolated, e.live)
	larger := slices.DeleteFunc(slices.Clone(e.live), func(name string) bool { return name == isolated })
	if err := e.agreeOnLargerSide("cut one off", larger, []string{isolated}); err != nil {
		return err
	}
	e.members.Network.Heal()
	return e.agree("healed")
}

// partitionOneWay drops what one member sends to another for a while; no member may be declared dead for it.
//
// What an isolated member came to suspect may still be declared when it is back, until it is refuted. That belongs to the
// step before and is counted apart, after the longest suspicion.
func (e *fleetExperiment) partitionOneWay() error {
	departures := func() int { return e.members.CountDepartures(e.live) }
	before := departures()
	time.Sleep(fleetFaultDuration)
	e.report.Put("after_heal_declared_gone", float64(departures()-before))

	before = departures()
	e.members.Network.Cut(e.live[1], e.live[2])
	time.Sleep(fleetFaultDuration)
	e.members.Network.Heal()
	falseDetections := departures() - before
	if e.claim > 0 {
		e.report.Zero("one_way_cut_declared_gone", falseDetections)
	} else { // in a small fleet few members are left for indirect probes: one false detection was seen under load
		e.report.Put("one_way_cut_declared_gone", float64(falseDetections))
	}
	return nil
}

// partition partitions a third of the members from the rest and heals it.
func (e *fleetExperiment) partition() error {
	smaller := max(len(e.live)/partitionFraction, 1)
	e.members.Network.Partition(e.live[:smaller], e.live[smaller:])
	if err := e.agreeOnLargerSide("partition", e.live[smaller:], e.live[:smaller]); err != nil {
		return err
	}
	e.members.Network.Heal()
	return e.agree("partition healed")
}

// agreeOnLargerSide waits until the larger side of a partition agrees. The smaller side is not waited for: suspicion is
// slowest (Lifeguard) where a member's own probes fail and no other member confirms it, as is right for a minority. How
// many of the others it still has in its view is reported.
func (e *fleetExperiment) agreeOnLargerSide(step string, larger, smaller []string) error {
	all := e.live
	e.live = larger
	err := e.agree(step)
	e.live = all
	if err != nil {
		return err
	}
	for _, name := range smaller {
		if view, ok := e.members.Member(name).FleetView(); ok {
			e.staleMembers = max(e.staleMembers, view.Members-len(smaller))
		}
	}
	return nil
}
