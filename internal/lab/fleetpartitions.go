package lab

import (
	"slices"
	"time"
)

// isolate partitions one member from all others and heals it.
func (e *fleetExperiment) isolate() error {
	isolated := e.live[len(e.live)/2]
	e.fleet.Network.Isolate(isolated, e.live)
	larger := slices.DeleteFunc(slices.Clone(e.live), func(name string) bool { return name == isolated })
	if err := e.awaitAgreementOfLargerSide("isolated member", larger, []string{isolated}); err != nil {
		return err
	}
	e.fleet.Network.Heal()
	return e.awaitAgreement("healed")
}

// partitionOneWay drops what one member sends to another for a while; it is a fault if a member is declared dead for it.
//
// A member that was isolated may still declare the members dead that it came to suspect, until they refute that. Such
// declarations belong to the step before: they are counted separately, for as long as a suspicion lasts.
func (e *fleetExperiment) partitionOneWay() error {
	before := e.fleet.CountDepartures(e.live)
	time.Sleep(faultDuration)
	e.report.AddFigure("after_heal_declared_gone", float64(e.fleet.CountDepartures(e.live)-before))

	before = e.fleet.CountDepartures(e.live)
	e.fleet.Network.Cut(e.live[1], e.live[2])
	time.Sleep(faultDuration)
	e.fleet.Network.Heal()
	falseDetections := e.fleet.CountDepartures(e.live) - before
	if e.agreementLimit > 0 {
		e.report.ExpectZero("one_way_cut_declared_gone", falseDetections)
	} else { // in a small fleet few members are left for indirect probes: one false detection was seen under load
		e.report.AddFigure("one_way_cut_declared_gone", float64(falseDetections))
	}
	return nil
}

// partition partitions a third of the members from the rest and heals it.
func (e *fleetExperiment) partition() error {
	smaller := max(len(e.live)/partitionDivisor, 1)
	e.fleet.Network.Partition(e.live[:smaller], e.live[smaller:])
	if err := e.awaitAgreementOfLargerSide("partition", e.live[smaller:], e.live[:smaller]); err != nil {
		return err
	}
	e.fleet.Network.Heal()
	return e.awaitAgreement("partition healed")
}

// awaitAgreementOfLargerSide waits until the larger side of a partition agrees. The smaller side is not waited for: suspicion is
// slowest (Lifeguard) where a member's own probes fail and no other member confirms it, as is right for a minority. How
// many of the others it still has in its view is reported.
func (e *fleetExperiment) awaitAgreementOfLargerSide(step string, larger, smaller []string) error {
	all := e.live
	e.live = larger
	err := e.awaitAgreement(step)
	e.live = all
	if err != nil {
		return err
	}
	for _, name := range smaller {
		if view, ok := e.fleet.Member(name).FleetView(); ok {
			e.maxStaleMembers = max(e.maxStaleMembers, view.Members-len(smaller))
		}
	}
	return nil
}
