package lab

import (
	"slices"
	"time"
)

// isolate partitions one member from all others and then heals the partition.
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

// partitionOneWay drops what one member sends to another for faultDuration. With a limit on agreement, a member that is declared
// dead meanwhile is a fault of the report.
//
// The member that isolate cut off may still declare members dead that it suspected, until they refute the suspicion. These
// declarations are effects of that step, so they are counted separately, before the one-way partition, for as long as a suspicion
// lasts.
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
	} else { // a small fleet has few members for indirect probes: one false detection was seen on a machine under load
		e.report.AddFigure("one_way_cut_declared_gone", float64(falseDetections))
	}
	return nil
}

// partition partitions a third of the members from the rest and then heals the partition.
func (e *fleetExperiment) partition() error {
	smaller := max(len(e.live)/partitionDivisor, 1)
	e.fleet.Network.Partition(e.live[:smaller], e.live[smaller:])
	if err := e.awaitAgreementOfLargerSide("partition", e.live[smaller:], e.live[:smaller]); err != nil {
		return err
	}
	e.fleet.Network.Heal()
	return e.awaitAgreement("partition healed")
}

// awaitAgreementOfLargerSide waits until the members of the larger side of a partition agree. It does not wait for the smaller side:
// by Lifeguard, suspicions time out most slowly at a member whose own probes fail and whose suspicions no other member confirms,
// as intended for a minority. It updates maxStaleMembers from the views of the smaller side.
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
