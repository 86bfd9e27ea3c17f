package decisions

import (
	"fmt"

	"thymechute/internal/lab/scale"
)

// collector collects the points of each series while the sizes are measured.
type collector struct {
	seed    uint64
	samples int // per timed decision
	result  *scale.Result
	series  map[string]*scale.Series
	order   []string // names of the series in the order in which they were added
}

func newCollector(seed uint64, samples int) *collector {
	result := &scale.Result{Part: Part{}.Name(), Seed: seed}
	return &collector{seed: seed, samples: samples, result: result, series: map[string]*scale.Series{}}
}

// addPoint adds one measured value to a series. A bound of 0 means that there is none.
func (c *collector) addPoint(name, role string, bound float64, size int, value float64) {
	s := c.series[name]
	if s == nil {
		s = &scale.Series{Name: name, Role: role, SizeUnit: "members", Target: scale.TargetMembers, Bound: bound}
		c.series[name] = s
		c.order = append(c.order, name)
	}
	s.Points = append(s.Points, scale.Point{Size: float64(size), Value: value})
}

// lastValue returns the value of a series at the largest size measured so far.
func (c *collector) lastValue(name string) float64 {
	s := c.series[name]
	return s.Points[len(s.Points)-1].Value
}

// addTiming measures a decision and adds the median, the 99th percentile and the maximum of its time, in milliseconds.
func (c *collector) addTiming(name, role string, size int, decide func(sample int)) {
	times := timeDecision(c.samples, decide)
	c.addPoint(name+"_ms_p50", role, maxDecisionMillis, size, scale.Milliseconds(times.p50))
	c.addPoint(name+"_ms_p99", role, maxDecisionMillis, size, scale.Milliseconds(times.p99))
	c.addPoint(name+"_ms_worst", role, maxDecisionMillis, size, scale.Milliseconds(times.max))
}

// finish fits every series and returns the result.
func (c *collector) finish(largest int) (*scale.Result, error) {
	for _, name := range c.order {
		s := c.series[name]
		s.Coverage = fmt.Sprintf("up to %d members, in the emulator", largest)
		if err := c.result.AddSeries(*s); err != nil {
			return nil, err
		}
	}
	c.result.NotRun = append(c.result.NotRun, "decisions over sockets at these sizes: the emulator delivers entries without delay",
		"a partitioned region with its own load: loads are parameters, no requests are sent")
	return c.result, nil
}
