// This file owns the series that rows become: by tenants, by routes, and of both together.

package instance

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"thymechute/internal/fake/stub"
	"thymechute/internal/lab/scale"
)

// The bounds of one instance at the target, beyond those of the frame.
const (
	boundStartMillis   = 2000
	boundResidentMB    = 64
	boundPeakMB        = scale.BoundMemoryBytes >> 20
	boundReloadMillis  = 200
	boundLongestMillis = 20
)

// figure is one value of a row; one that needs all of the script is had only where no reload ended it early.
type figure struct {
	name  string
	bound float64
	whole bool
	value func(*row) float64
}

func (f figure) of(r *row) (value float64, ok bool) {
	if !r.serves() || f.whole && !r.whole() {
		return 0, false
	}
	value = f.value(r)
	return value, !math.IsNaN(value)
}

// worst is the largest; not a number where there is none.
func worst(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return slices.Max(values)
}

var rowFigures = []figure{
	{"file_bytes", 0, false, func(r *row) float64 { return float64(r.fileBytes) }},
	{"start_ms", boundStartMillis, false, func(r *row) float64 { return r.start }},
	{"resident_mb_start", boundResidentMB, false, func(r *row) float64 { return r.residentStart }},
	{"resident_mb_1_reload", boundPeakMB, true, func(r *row) float64 { return r.resident1 }},
	{"resident_mb_5_reloads", boundPeakMB, true, func(r *row) float64 { return r.resident5 }},
	{"resident_mb_20_reloads", boundPeakMB, true, func(r *row) float64 { return r.resident20 }},
	{"resident_mb_peak", boundPeakMB, false, func(r *row) float64 { return r.peak }},
	{"reload_logged_ms_worst", boundReloadMillis, true, func(r *row) float64 { return worst(r.logged) }},
	{"reload_in_force_ms_worst", boundReloadMillis, true, func(r *row) float64 { return worst(r.inForce) }},
	{"reload_wait_p99_ms", scale.TargetAddedMillis, false, func(r *row) float64 { return r.wait(r.waits.Percentile(99)) }},
	{"reload_wait_longest_ms", boundLongestMillis, false, func(r *row) float64 { return r.wait(r.waits.Max()) }},
	{"reload_processor_ms", 0, true, func(r *row) float64 { return r.processor }},
	{"same_file_ms", 0, true, func(r *row) float64 { return r.same.took() }},
	{"faulty_file_ms", 0, true, func(r *row) float64 { return r.faulty.took() }},
	{"odd_files_wait_longest_ms", boundLongestMillis, true, func(r *row) float64 { return milliseconds(r.oddWaits.Max()) }},
}

func (m *measuring) tenants() error {
	var rows []*row
	for _, tenants := range m.sizes.tenants {
		loaded := slices.Contains(m.sizes.loaded, tenants)
		r, err := m.measureRow(deployment{tenants: tenants, classes: 1}, func(d *deployment) { d.limited = false }, loaded)
		if err != nil {
			return fmt.Errorf("%d tenants: %w", tenants, err)
		}
		m.sayRow(r)
		rows = append(rows, r)
		if r.serves() && !r.limitAtStart {
			m.result.Fault("%d tenants: the last one's limit does not act after the start", tenants)
		}
	}
	if err := m.addRows(rows, "tenants", scale.TargetTenants, func(r *row) int { return r.tenants }); err != nil {
		return err
	}
	return m.addLoads(rows)
}

// routes has few tenants: what changes is the last class's aim, which only the log shows.
func (m *measuring) routes() error {
	var rows []*row
	for _, classes := range m.sizes.routes {
		r, err := m.measureRow(deployment{tenants: 2, classes: classes}, func(d *deployment) { d.shorter = 1 }, false)
		if err != nil {
			return fmt.Errorf("%d routes: %w", classes, err)
		}
		m.sayRow(r)
		rows = append(rows, r)
	}
	return m.addRows(rows, "routes", scale.TargetRoutes, func(r *row) int { return r.classes })
}

// together is both at the target, in one program.
func (m *measuring) together() error {
	if !m.sizes.together {
		return nil
	}
	r, err := m.measureRow(deployment{tenants: scale.TargetTenants, classes: scale.TargetRoutes},
		func(d *deployment) { d.limited = false }, true)
	if err != nil {
		return fmt.Errorf("tenants and routes together: %w", err)
	}
	m.sayRow(r)
	m.noteRow(r)
	for _, f := range rowFigures {
		if value, ok := f.of(r); ok {
			m.result.Put("together_"+f.name, value)
		}
	}
	m.putLoads("together_", r)
	return nil
}

// noteRow makes faults of what was asked for and not had.
func (m *measuring) noteRow(r *row) {
	if !r.serves() {
		m.result.Fault("%d tenants, %d routes: %s", r.tenants, r.classes, r.fault)
		return
	}
	if !r.whole() {
		m.result.Fault("%d tenants, %d routes: %s; the longest wait %s%.0f ms", r.tenants, r.classes, r.fault, r.atLeast(),
			milliseconds(r.waits.Max()))
	}
	if r.unserved > 0 {
		m.result.Fault("%d tenants, %d routes: %d of %d requests of a load without reloads not served", r.tenants, r.classes, r.unserved, r.sent)
	}
}

func (m *measuring) addRows(rows []*row, of string, target float64, size func(*row) int) error {
	var ended []string
	for _, r := range rows {
		m.noteRow(r)
		if !r.whole() {
			ended = append(ended, fmt.Sprintf("%d (%s)", size(r), r.fault))
		}
	}
	for _, f := range rowFigures {
		s := scale.Series{Name: f.name, Of: of, Target: target, Bound: f.bound}
		for _, r := range rows {
			if value, ok := f.of(r); ok {
				s.Points = append(s.Points, scale.Point{Size: float64(size(r)), Value: value})
			}
		}
		if len(s.Points) < len(rows) && len(ended) > 0 {
			s.Ran = "not had at " + strings.Join(ended, ", ")
		}
		if err := m.add(s); err != nil {
			return err
		}
	}
	return nil
}

// addLoads makes series of p50, p99 and p99.9 of what is added, at each rate, with and without reloads.
func (m *measuring) addLoads(rows []*row) error {
	percents := []struct {
		name  string
		at    float64
		bound float64
	}{{"p50", 50, 0}, {"p99", 99, scale.TargetAddedMillis}, {"p99.9", 99.9, 0}}
	kinds := []struct {
		name string
		of   func(*row) map[float64]*stub.Distribution
	}{{"", func(r *row) map[float64]*stub.Distribution { return r.quiet }},
		{"_a_reload_each_second", func(r *row) map[float64]*stub.Distribution { return r.reloading }}}
	for _, kind := range kinds {
		for _, rate := range m.sizes.rates {
			for _, percent := range percents {
				s := scale.Series{Name: fmt.Sprintf("added_ms_%s_at_%.0f_s%s", percent.name, rate, kind.name), Of: "tenants",
					Target: scale.TargetTenants, Bound: percent.bound}
				for _, r := range rows {
					if d := kind.of(r)[rate]; d != nil {
						s.Points = append(s.Points, scale.Point{Size: float64(r.tenants), Value: milliseconds(d.Percentile(percent.at))})
					}
				}
				if len(s.Points) < len(m.sizes.loaded) {
					s.Ran = "had only where reloads are taken"
				}
				if err := m.add(s); err != nil {
					return err
				}
			}
		}
	}
	for _, r := range rows {
		if len(r.quiet) > 0 {
			m.result.Put(fmt.Sprintf("generator_late_ms_p99_at_%d_tenants", r.tenants), milliseconds(r.late))
		}
	}
	return nil
}

func (m *measuring) putLoads(before string, r *row) {
	for rate, d := range r.quiet {
		m.result.Put(fmt.Sprintf("%sadded_ms_p99_at_%.0f_s", before, rate), milliseconds(d.Percentile(99)))
	}
	for rate, d := range r.reloading {
		m.result.Put(fmt.Sprintf("%sadded_ms_p99_at_%.0f_s_a_reload_each_second", before, rate), milliseconds(d.Percentile(99)))
	}
}

func (m *measuring) sayRow(r *row) {
	m.say("%d tenants, %d routes: start %.0f ms, %.1f MB, first reload %.0f ms, longest wait %.1f ms %s", r.tenants, r.classes, r.start,
		r.residentStart, r.first.took(), milliseconds(r.waits.Max()), r.fault)
}
