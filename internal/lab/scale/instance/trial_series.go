package instance

import (
	"fmt"
	"slices"
	"strings"

	"thymechute/internal/fake/stub"
	"thymechute/internal/lab/scale"
)

// measureTenants runs a trial for each number of tenants. Its reloads lift and restore the last tenant's limit.
func (m *measurement) measureTenants() error {
	var trials []*trial
	for _, tenants := range m.workload.tenants {
		loads := withoutLoads
		if slices.Contains(m.workload.loadedTenants, tenants) {
			loads = withLoads
		}
		t, err := m.runTrial(deploymentPlan{tenants: tenants, classes: 1}, liftLimit, loads)
		if err != nil {
			return fmt.Errorf("%d tenants: %w", tenants, err)
		}
		m.reportTrial(t)
		trials = append(trials, t)
		if t.hasStarted() && !t.limitActiveAtStart {
			m.result.AddFault("%d tenants: limit of the last tenant not in force after the start", tenants)
		}
	}
	if err := m.addTrials(trials, "tenants", scale.TargetTenants, func(t *trial) int { return t.tenants }); err != nil {
		return err
	}
	return m.addLatencySeries(trials)
}

// measureRoutes runs a trial for each number of routes, with few tenants. Its reloads change the last class's latency objective, which
// only the log shows.
func (m *measurement) measureRoutes() error {
	var trials []*trial
	for _, routes := range m.workload.routes {
		t, err := m.runTrial(deploymentPlan{tenants: 2, classes: routes}, shortenObjective, withoutLoads)
		if err != nil {
			return fmt.Errorf("%d routes: %w", routes, err)
		}
		m.reportTrial(t)
		trials = append(trials, t)
	}
	return m.addTrials(trials, "routes", scale.TargetRoutes, func(t *trial) int { return t.routes })
}

// measureCombined runs one trial with the tenants and routes of the target.
func (m *measurement) measureCombined() error {
	if !m.workload.withCombinedTrial {
		return nil
	}
	t, err := m.runTrial(deploymentPlan{tenants: scale.TargetTenants, classes: scale.TargetRoutes}, liftLimit, withLoads)
	if err != nil {
		return fmt.Errorf("trial with the target's tenants and routes: %w", err)
	}
	m.reportTrial(t)
	m.recordFailures(t)
	for _, f := range trialFigures {
		if value, ok := f.valueIn(t); ok {
			m.result.SetFigure("together_"+f.name, value)
		}
	}
	m.addLatencyFigures("together_", t)
	return nil
}

func liftLimit(d *deploymentPlan) { d.lastTenantLimited = false }

func shortenObjective(d *deploymentPlan) { d.shorterObjective = 1 }

// recordFailures records the failures of a trial as faults of the result.
func (m *measurement) recordFailures(t *trial) {
	if !t.hasStarted() {
		m.result.AddFault("%d tenants, %d routes: %s", t.tenants, t.routes, t.failure)
		return
	}
	if !t.hasCompleted() {
		m.result.AddFault("%d tenants, %d routes: %s; maximum latency %s%.0f ms", t.tenants, t.routes, t.failure, t.truncationPrefix(),
			scale.Milliseconds(t.reloadLatency.Max()))
	}
	if t.unserved > 0 {
		m.result.AddFault("%d tenants, %d routes: %d of %d requests not served in loads without reloads, expected 0",
			t.tenants, t.routes, t.unserved, t.sent)
	}
}

// addTrials adds a series for each figure of the trials.
func (m *measurement) addTrials(trials []*trial, unit string, target float64, size func(*trial) int) error {
	var incomplete []string
	for _, t := range trials {
		m.recordFailures(t)
		if !t.hasCompleted() {
			incomplete = append(incomplete, fmt.Sprintf("%d (%s)", size(t), t.failure))
		}
	}
	for _, f := range trialFigures {
		s := scale.Series{Name: f.name, SizeUnit: unit, Target: target, Bound: f.bound}
		for _, t := range trials {
			if value, ok := f.valueIn(t); ok {
				s.Points = append(s.Points, scale.Point{Size: float64(size(t)), Value: value})
			}
		}
		if len(s.Points) < len(trials) && len(incomplete) > 0 {
			s.Coverage = "not measured at " + strings.Join(incomplete, ", ")
		}
		if err := m.addSeries(s); err != nil {
			return err
		}
	}
	return nil
}

// percentile is a percentile of the latency added by the program.
type percentile struct {
	name    string
	percent float64
	bound   float64 // milliseconds; 0 for none
}

var percentiles = []percentile{{"p50", 50, 0}, {"p99", 99, scale.TargetAddedLatencyMillis}, {"p99.9", 99.9, 0}}

// latencyKind is the kind of load: without reloads, or with a reload every second.
type latencyKind struct {
	suffix string // of figure names
	byRate func(*trial) map[float64]*stub.Distribution
}

var latencyKinds = []latencyKind{
	{"", func(t *trial) map[float64]*stub.Distribution { return t.quietLatency }},
	{"_a_reload_each_second", func(t *trial) map[float64]*stub.Distribution { return t.reloadingLatency }},
}

// addLatencySeries adds a series for each percentile, rate and kind of load.
func (m *measurement) addLatencySeries(trials []*trial) error {
	for _, kind := range latencyKinds {
		for _, rate := range m.workload.rates {
			for _, p := range percentiles {
				if err := m.addSeries(m.latencySeries(trials, kind, rate, p)); err != nil {
					return err
				}
			}
		}
	}
	for _, t := range trials {
		if len(t.quietLatency) > 0 {
			m.result.SetFigure(fmt.Sprintf("generator_late_ms_p99_at_%d_tenants", t.tenants), scale.Milliseconds(t.sendDelayP99))
		}
	}
	return nil
}

func (m *measurement) latencySeries(trials []*trial, kind latencyKind, rate float64, p percentile) scale.Series {
	s := scale.Series{Name: fmt.Sprintf("added_ms_%s_at_%.0f_s%s", p.name, rate, kind.suffix), SizeUnit: "tenants",
		Target: scale.TargetTenants, Bound: p.bound}
	for _, t := range trials {
		if d := kind.byRate(t)[rate]; d != nil {
			s.Points = append(s.Points, scale.Point{Size: float64(t.tenants), Value: scale.Milliseconds(d.Percentile(p.percent))})
		}
	}
	if len(s.Points) < len(m.workload.loadedTenants) {
		s.Coverage = "measured only where reloads are applied"
	}
	return s
}

// addLatencyFigures adds the 99th percentiles of one trial as single figures.
func (m *measurement) addLatencyFigures(prefix string, t *trial) {
	for _, kind := range latencyKinds {
		for rate, d := range kind.byRate(t) {
			m.result.SetFigure(fmt.Sprintf("%sadded_ms_p99_at_%.0f_s%s", prefix, rate, kind.suffix), scale.Milliseconds(d.Percentile(99)))
		}
	}
}

// reportTrial reports a trial as a line of progress.
func (m *measurement) reportTrial(t *trial) {
	m.progress("%d tenants, %d routes: start %.0f ms, %.1f MB, first reload %.0f ms, maximum latency %.1f ms %s", t.tenants, t.routes,
		t.startMillis, t.residentStartMB, t.firstReload.millis(), scale.Milliseconds(t.reloadLatency.Max()), t.failure)
}
