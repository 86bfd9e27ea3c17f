// Package instance measures one instance of the real program, as a process beside fakes of its runtime and of the catalog on
// loopback: start time, memory, reload time, latency added to requests, connections and load reports, by the number of tenants,
// routes and connections. At most one instance runs at a time; it is killed with the rig that started it, and all waits are
// bounded by timeouts. Every figure comes from the run that reports it.
//
// A route is a class here, the method of a request: the settings give deadline, idempotency and priority weight by class, run
// times are learned by class, and the protocol has no other name for what a request asks for.
//
// A rig's table of run times, by request body, is guarded by a mutex and bounded by one load's requests; the log of the program is
// bounded by maxLogLines. Everything else belongs to the goroutine of Run.
package instance

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"thymechute/internal/lab/scale"
)

// workload is the sizes and durations of one run.
type workload struct {
	tenants          []int // sizes for start, memory and reload
	loadedTenants    []int // those of tenants that are measured under load as well
	routes           []int // number of classes
	connections      []int
	reporters        []int         // simulated instances that report to the catalog
	rates            []float64     // requests a second
	singleReloadLoad time.Duration // duration of a load with a single reload
	quietLoad        time.Duration // duration of a load without reloads
	reloadingLoad    time.Duration // duration of a load with a reload each second
	reloadCount      int           // reloads of one program
	reportingTime    time.Duration // duration of the reports to the catalog
	combined         bool          // whether to measure the target's tenants and routes in one program
}

// fullWorkload is the full run. Its connections correspond to subsets of 1, 5, 10, 20, 40 and 80 instances a caller.
var fullWorkload = workload{
	tenants:          []int{250, 500, 750, 1000, 5000, 15_000, 30_000, scale.TargetTenants},
	loadedTenants:    []int{1000, 15_000, 30_000, scale.TargetTenants},
	routes:           []int{100, 500, 900, 2500, 5000, scale.TargetRoutes},
	connections:      []int{15, 70, 140, 280, 560, 1133},
	reporters:        []int{150, 300, 600, scale.TargetMembers},
	rates:            []float64{200, 400}, // an instance's share of the fleet's peak, and twice that
	singleReloadLoad: 1200 * time.Millisecond,
	quietLoad:        2500 * time.Millisecond,
	reloadingLoad:    4 * time.Second,
	reloadCount:      20,
	reportingTime:    2100 * time.Millisecond, // seven report intervals
	combined:         true,
}

// part implements scale.Part.
type part struct{ workload workload }

// ErrNoProgram is the error of Run without the path of the program.
var ErrNoProgram = errors.New("instance: found no program, expected the path of thymechute")

// New creates the part with its full workload, which takes about three minutes.
func New() scale.Part { return part{fullWorkload} }

// Name implements scale.Part.
func (part) Name() string { return "instance" }

// Run implements scale.Part. It returns ErrNoProgram when the options name no program.
func (p part) Run(ctx context.Context, options scale.Options) (*scale.Result, error) {
	if options.Program == "" {
		return nil, ErrNoProgram
	}
	m := &measurement{ctx: ctx, workload: p.workload, options: options, result: &scale.Result{Part: p.Name(), Seed: options.Seed}}
	for _, step := range []func() error{m.measureTenants, m.measureRoutes, m.measureCombined, m.measureConnections, m.measureReports} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	m.result.NotRun = append(m.result.NotRun,
		"1,200 instances and 17,000 callers: one instance at a time, its share of both",
		"the 4 regions and their zones: one instance knows none, none of these figures differs by the reading")
	return m.result, nil
}

// measurement is the state of one run.
type measurement struct {
	ctx       context.Context
	workload  workload
	options   scale.Options
	result    *scale.Result
	loadCount uint64 // loads started so far; each has its own seed
}

// progress reports a line of progress.
func (m *measurement) progress(format string, values ...any) {
	m.options.ReportProgress("instance: " + fmt.Sprintf(format, values...))
}

// nextSeed is the seed of the next load.
func (m *measurement) nextSeed() uint64 {
	m.loadCount++
	return m.options.Seed<<16 + m.loadCount
}

// startRig starts a program and its fakes; the duration is the time until it was serving.
func (m *measurement) startRig(d deploymentPlan) (*rig, time.Duration, error) {
	return newRig(m.ctx, m.options.Program, m.options.Folder, d)
}

// addSeries adds a series to the result. One with too few sizes for a fit is added by its points, and named among what was not run.
func (m *measurement) addSeries(s scale.Series) error {
	s.Role = "service instance"
	sizes := map[float64]bool{}
	for _, p := range s.Points {
		sizes[p.Size] = true
	}
	switch {
	case len(sizes) == 0:
		return nil
	case len(sizes) >= scale.MinSizes:
		return m.result.AddSeries(s)
	}
	for _, p := range s.Points {
		m.result.SetFigure(fmt.Sprintf("%s_at_%.0f_%s", s.Name, p.Size, s.SizeUnit), p.Value)
	}
	m.addNotRun(fmt.Sprintf("fewer than four %s, no fit, %s: ", s.SizeUnit, s.Coverage), s.Name)
	return nil
}

// addNotRun adds a name to the line of what was not run for that reason.
func (m *measurement) addNotRun(reason, name string) {
	for n, line := range m.result.NotRun {
		if strings.HasPrefix(line, reason) {
			m.result.NotRun[n] = line + ", " + name
			return
		}
	}
	m.result.NotRun = append(m.result.NotRun, reason+name)
}
