// Package instance measures one instance of the real program, as a process beside stand-ins of its runtime and of the
// catalog on loopback: start, memory, reload, what it adds to a request, connections, reports, by the number of
// tenants, of routes and of connections. It owns the processes it starts and their files. It must never call a figure
// measured that no run gave, wait without a bound, nor start more than one program at a time.
//
// A route is a class here, the method of a request: it is what the settings give its own deadline, repeats and worth,
// what is learned of run times goes by it, and the protocol has no other name for what is asked for. Class by tenant
// is no table of the program, and calls below carry no name of what they ask for.
package instance

import (
	"context"
	"fmt"
	"strings"
	"time"

	"thymechute/internal/lab/scale"
)

// sizes are what one run measures.
type sizes struct {
	tenants     []int // start, memory, reload
	loaded      []int // of these, under load as well
	routes      []int // classes
	connections []int
	reporters   []int         // hollow ones
	rates       []float64     // requests a second
	single      time.Duration // of a load beside a single reload
	quiet       time.Duration // of a load without reloads
	reloading   time.Duration // of a load with one a second
	reloads     int           // of one program, in all
	reporting   time.Duration // of reports to the catalog
	together    bool          // the target's tenants and routes in one program
}

// The sizes of a full run. The subset sizes behind the connections are 1, 5, 10, 20, 40 and 80 instances a caller.
var full = sizes{
	tenants:     []int{250, 500, 750, 1000, 5000, 15_000, 30_000, scale.TargetTenants},
	loaded:      []int{1000, 15_000, 30_000, scale.TargetTenants},
	routes:      []int{100, 500, 900, 2500, 5000, scale.TargetRoutes},
	connections: []int{15, 70, 140, 280, 560, 1133},
	reporters:   []int{150, 300, 600, scale.TargetMembers},
	rates:       []float64{200, 400}, // the fleet's peak over its instances, and twice that
	single:      1200 * time.Millisecond,
	quiet:       2500 * time.Millisecond,
	reloading:   4 * time.Second,
	reloads:     20,
	reporting:   2100 * time.Millisecond, // seven reports
	together:    true,
}

// part is the measurement.
type part struct{ sizes sizes }

// New is the part at its full size; it takes about three minutes.
func New() scale.Part { return part{full} }

// Name is that of the part.
func (part) Name() string { return "instance" }

// Run measures, one program after the other.
func (p part) Run(ctx context.Context, options scale.Options) (*scale.Result, error) {
	if options.Program == "" {
		return nil, fmt.Errorf("instance: found no program, expected the path of thymechute")
	}
	m := &measuring{ctx: ctx, sizes: p.sizes, options: options, result: &scale.Result{Part: p.Name(), Seed: options.Seed}}
	for _, step := range []func() error{m.tenants, m.routes, m.together, m.connections, m.reports} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	m.result.NotRun = append(m.result.NotRun,
		"1,200 instances and 17,000 callers: one instance at a time, its share of both",
		"the 4 regions and their zones: one instance knows none, none of these figures differs by the reading")
	return m.result, nil
}

// measuring is a run on its way.
type measuring struct {
	ctx     context.Context
	sizes   sizes
	options scale.Options
	result  *scale.Result
	loads   uint64 // made so far: each has a seed of its own
}

func (m *measuring) say(format string, values ...any) {
	if m.options.Progress != nil {
		m.options.Progress("instance: " + fmt.Sprintf(format, values...))
	}
}

func (m *measuring) seed() uint64 {
	m.loads++
	return m.options.Seed<<16 + m.loads
}

func (m *measuring) start(d deployment) (*rig, time.Duration, error) {
	return startRig(m.ctx, m.options.Program, m.options.Folder, d)
}

// add puts a series into the result; one of too few sizes goes in by its points, and its name to what was not run.
func (m *measuring) add(s scale.Series) error {
	s.Role = "service instance"
	distinct := map[float64]bool{}
	for _, p := range s.Points {
		distinct[p.Size] = true
	}
	if len(distinct) >= scale.MinSizes {
		return m.result.AddSeries(s)
	}
	if len(distinct) == 0 {
		return nil
	}
	for _, p := range s.Points {
		m.result.Put(fmt.Sprintf("%s_at_%.0f_%s", s.Name, p.Size, s.SizeUnit), p.Value)
	}
	why := fmt.Sprintf("fewer than four %s, no fit, %s: ", s.SizeUnit, s.Coverage)
	for n, line := range m.result.NotRun {
		if strings.HasPrefix(line, why) {
			m.result.NotRun[n] = line + ", " + s.Name
			return nil
		}
	}
	m.result.NotRun = append(m.result.NotRun, why+s.Name)
	return nil
}
