// Package decisions measures the decisions of the packages below internal/decide (subsets, leases, voters, ring, rollout) for fleets
// of 120 to 1,200 members in the emulator, without sockets: the time of one decision, the bytes that it adds to the replicated log,
// the size of each table, and the cost of losing and regaining a machine, a rack, a zone and a region. Every figure comes from the
// run that reports it.
//
// There is one emulated fleet at a time, of at most scale.TargetMembers members, which is released after its measurement.
// Everything runs on the goroutine of Run.
package decisions

import (
	"context"
	"fmt"

	"thymechute/internal/lab/scale"
)

const (
	maxDecisionMillis = 50 // maximum time of one decision, which blocks its goroutine
	maxBytesPerSecond = scale.MaxControlBytesPerSecond
	fullSamples       = 200 // per timed decision
	smallSamples      = 6   // per timed decision in a small run
)

// sizes are the fleet sizes in members. Each fleet has four regions and one zone per membersPerZone members. The last size is the
// target.
var sizes = []int{120, 240, 480, 720, scale.TargetMembers}

// smallSizes are the fleet sizes of a small run.
var smallSizes = []int{48, 72, 96, 132}

// Part implements scale.Part. With Small it has smaller fleets and fewer samples, for tests.
type Part struct{ Small bool }

// Name implements scale.Part.
func (Part) Name() string { return "decisions" }

// Run implements scale.Part.
func (p Part) Run(ctx context.Context, options scale.Options) (*scale.Result, error) {
	fleetSizes, zoneSize, samples := sizes, membersPerZone, fullSamples
	if p.Small {
		fleetSizes, zoneSize, samples = smallSizes, smallMembersPerZone, smallSamples
	}
	c := newCollector(options.Seed, samples)
	for _, size := range fleetSizes {
		l := Layout{Size: size, Zones: size / zoneSize, Regions: scale.TargetRegions}
		options.ReportProgress(fmt.Sprintf("decisions: %d members in %d zones", l.Size, l.Zones))
		if err := c.measureAll(ctx, measurements, l); err != nil {
			return nil, err
		}
	}
	largest := fleetSizes[len(fleetSizes)-1]
	for _, zones := range []int{largest / zoneSize, tenZones} {
		l := Layout{Size: largest, Zones: zones, Regions: scale.TargetRegions}
		if err := c.measureAll(ctx, lossMeasurements, l); err != nil {
			return nil, err
		}
	}
	addDailyTraffic(c, largest)
	return c.finish(largest)
}

// measurement measures one kind of decision in a fleet with that layout.
type measurement func(*collector, Layout) error

// measureAll runs the measurements until one fails or the context ends.
func (c *collector) measureAll(ctx context.Context, measurements []measurement, l Layout) error {
	for _, measure := range measurements {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := measure(c, l); err != nil {
			return err
		}
	}
	return nil
}

// measurements run at every size. lossMeasurements run at the largest size for both interpretations of "4 regions with 10 zones":
// ten zones in each region, and ten in total.
var (
	measurements     = []measurement{measureSubsets, measureLeases, measureVoters, measureRing, measureRollout}
	lossMeasurements = []measurement{measureSubsetLosses, measureLeaseLosses, measureVoterLosses, measureRingLosses, measureRolloutLosses}
)
