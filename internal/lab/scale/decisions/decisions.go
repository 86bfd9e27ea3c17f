// Package decisions measures the fleet's decisions (subsets, owner, voters, ring, roll) from 120 to 1,200 members without
// sockets: the time of one decision, what it puts into the agreed log, what each table holds, and what a rack, a zone and
// a region cost that are lost and come back. It owns the emulated fleets and the counting; internal/decide decides, by the
// same methods as on sockets. It must never state a figure that its own run did not give, and is never linked by
// cmd/thymechute.
//
// Tables: one emulated fleet at a time, at most scale.TargetMembers members, dropped with its measurement.
package decisions

import (
	"context"
	"errors"
	"fmt"
	"time"

	"thymechute/internal/lab/scale"
)

const (
	// decisionBound is what one decision may take on its owner's goroutine, in milliseconds.
	decisionBound = 50
	boundBytes    = scale.BoundBytesSecond
	manySamples   = 200 // of each timed decision
	fewSamples    = 6
)

// sizes in members, with a zone for each 30 and four regions throughout; the last is the size that is designed for.
var sizes = []int{120, 240, 480, 720, scale.TargetMembers}

// smallSizes are those of the tests.
var smallSizes = []int{48, 72, 96, 132}

// Part is the measurement; Small runs it at the tests' sizes, on a tenth of the samples.
type Part struct{ Small bool }

// Name implements scale.Part.
func (Part) Name() string { return "decisions" }

// Run implements scale.Part.
func (p Part) Run(ctx context.Context, options scale.Options) (*scale.Result, error) {
	c := newCollector(options.Seed, manySamples)
	these, membersOfZone := sizes, membersPerZone
	if p.Small {
		these, membersOfZone, c.samples = smallSizes, 12, fewSamples
	}
	for _, size := range these {
		l := Layout{Size: size, Zones: size / membersOfZone, Regions: scale.TargetRegions}
		if options.Progress != nil {
			options.Progress(fmt.Sprintf("decisions: %d members in %d zones", l.Size, l.Zones))
		}
		for _, measure := range measurements {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			if err := measure(c, l); err != nil {
				return nil, err
			}
		}
	}
	largest := these[len(these)-1]
	readings := []Layout{
		{Size: largest, Zones: largest / membersOfZone, Regions: scale.TargetRegions},
		{Size: largest, Zones: tenZones, Regions: scale.TargetRegions},
	}
	for _, l := range readings {
		for _, losses := range lossMeasurements {
			if err := errors.Join(ctx.Err(), losses(c, l)); err != nil {
				return nil, err
			}
		}
	}
	day(c, largest)
	return c.finish(largest)
}

// measurements are made at every size, lossMeasurements at the largest in both readings of "4 regions with 10 zones".
var (
	measurements     = []func(*collector, Layout) error{measureSubsets, measureLeases, measureVoters, measureRing, measureRollout}
	lossMeasurements = []func(*collector, Layout) error{loseSubsets, loseHolder, loseVoters, measureRingLosses, measureRolloutLosses}
)

// collector gathers the points of each series over the sizes.
type collector struct {
	seed    uint64
	samples int // of each timed decision
	result  *scale.Result
	series  map[string]*scale.Series
	order   []string
}

func newCollector(seed uint64, samples int) *collector {
	result := &scale.Result{Part: Part{}.Name(), Seed: seed}
	return &collector{seed: seed, samples: samples, result: result, series: map[string]*scale.Series{}}
}

// point adds one measured value of a series; bound 0: none is stated.
func (c *collector) point(name, role string, bound float64, size int, value float64) {
	s := c.series[name]
	if s == nil {
		s = &scale.Series{Name: name, Role: role, Of: "members", Target: scale.TargetMembers, Bound: bound}
		c.series[name] = s
		c.order = append(c.order, name)
	}
	s.Points = append(s.Points, scale.Point{Size: float64(size), Value: value})
}

// last is the value of a series at the largest size measured so far.
func (c *collector) last(name string) float64 {
	s := c.series[name]
	return s.Points[len(s.Points)-1].Value
}

// timing adds the middle, the 99th percentile and the worst of so many runs of one decision, in milliseconds.
func (c *collector) timing(name, role string, size int, decide func(sample int)) {
	t := timed(c.samples, decide)
	c.point(name+"_ms_p50", role, decisionBound, size, milliseconds(t.p50))
	c.point(name+"_ms_p99", role, decisionBound, size, milliseconds(t.p99))
	c.point(name+"_ms_worst", role, decisionBound, size, milliseconds(t.worst))
}

func milliseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e6 }

// finish fits every series.
func (c *collector) finish(largest int) (*scale.Result, error) {
	for _, name := range c.order {
		s := c.series[name]
		s.Ran = fmt.Sprintf("to %d members, in the emulator", largest)
		if err := c.result.Add(*s); err != nil {
			return nil, err
		}
	}
	c.result.NotRun = append(c.result.NotRun, "decisions over sockets at these sizes: the emulator hands entries over at once",
		"a region cut with its own load: loads are given, no requests are played")
	return c.result, nil
}
