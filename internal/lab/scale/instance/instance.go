// Package instance measures one instance of the real program. The program runs as a process, with fakes of its runtime and of the
// catalog on loopback. Measured are start time, memory, reload time, latency added to requests, connections and health reports, as
// functions of the number of tenants, routes, connections or members. At most one instance runs at a time. It is killed when its rig
// is closed, and all waits have timeouts. Every figure comes from the run that reports it.
//
// A route is represented by a class, which is the method of a request: the settings define deadline, idempotency and priority weight
// by class, run times are learned by class, and the protocol has no other name for the operation that a request asks for.
//
// A rig's table of run times, by request body, is guarded by a mutex and bounded by the requests of one load. The stored log of the
// program is bounded by maxLogLines. Everything else belongs to the goroutine of Run.
package instance

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"thymechute/internal/lab/scale"
)

// workload defines the sizes and durations of one run.
type workload struct {
	tenants           []int // numbers of tenants for start, memory and reloads
	loadedTenants     []int // the subset of tenants that is also measured under load
	routes            []int // numbers of classes
	connections       []int
	reporters         []int         // numbers of simulated instances that report to the catalog
	rates             []float64     // requests per second
	singleReloadLoad  time.Duration // duration of a load with a single reload
	quietLoad         time.Duration // duration of a load without reloads
	reloadingLoad     time.Duration // duration of a load with a reload every second
	reloadCount       int           // number of reloads of one program
	reportingTime     time.Duration // how long reports to the catalog are measured
	withCombinedTrial bool          // whether to measure one program with the tenants and routes of the target
}

// fullWorkload is the workload of the full run. Its connections correspond to subsets of 1, 5, 10, 20, 40 and 80 instances per caller.
var fullWorkload = workload{
	tenants:           []int{250, 500, 750, 1000, 5000, 15_000, 30_000, scale.TargetTenants},
	loadedTenants:     []int{1000, 15_000, 30_000, scale.TargetTenants},
	routes:            []int{100, 500, 900, 2500, 5000, scale.TargetRoutes},
	connections:       []int{15, 70, 140, 280, 560, 1133},
	reporters:         []int{150, 300, 600, scale.TargetMembers},
	rates:             []float64{200, 400}, // one instance's share of the fleet's peak rate, and twice that
	singleReloadLoad:  1200 * time.Millisecond,
	quietLoad:         2500 * time.Millisecond,
	reloadingLoad:     4 * time.Second,
	reloadCount:       20,
	reportingTime:     2100 * time.Millisecond, // seven report intervals
	withCombinedTrial: true,
}

// part implements scale.Part.
type part struct{ workload workload }

// ErrNoProgram is returned by Run when Options.Program is empty.
var ErrNoProgram = errors.New("instance: no path of the program given, expected that of the thymechute executable")

// New returns the part with its full workload, which takes about three minutes.
func New() scale.Part { return part{fullWorkload} }

// Name implements scale.Part.
func (part) Name() string { return "instance" }

// Run implements scale.Part. It returns ErrNoProgram if the options have no path of the program.
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
		"1,200 instances and 17,000 callers: one instance at a time was run, with its share of the load",
		"4 regions and their zones: one instance has neither, and no figure depends on the interpretation of the plan")
	return m.result, nil
}

// measurement is the state of one run.
type measurement struct {
	ctx       context.Context
	workload  workload
	options   scale.Options
	result    *scale.Result
	loadCount uint64 // number of loads started; it makes each load's seed unique
}

// progress reports a line of progress.
func (m *measurement) progress(format string, values ...any) {
	m.options.ReportProgress("instance: " + fmt.Sprintf(format, values...))
}

// nextSeed returns the seed of the next load.
func (m *measurement) nextSeed() uint64 {
	m.loadCount++
	return m.options.Seed<<16 + m.loadCount
}

// startRig starts a program and its fakes. The duration is the time from exec until the program serves.
func (m *measurement) startRig(d deploymentPlan) (*rig, time.Duration, error) {
	return newRig(m.ctx, m.options.Program, m.options.Folder, d)
}

// addSeries adds a series to the result. If it has too few sizes for a fit, its points are added as single figures, and NotRun
// mentions it.
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
	m.addNotRun(fmt.Sprintf("fewer than four numbers of %s, so no fit, %s: ", s.SizeUnit, s.Coverage), s.Name)
	return nil
}

// addNotRun appends a name to the line of NotRun with that reason.
func (m *measurement) addNotRun(reason, name string) {
	for n, line := range m.result.NotRun {
		if strings.HasPrefix(line, reason) {
			m.result.NotRun[n] = line + ", " + name
			return
		}
	}
	m.result.NotRun = append(m.result.NotRun, reason+name)
}
