// This file owns what is measured of one program of one size: a row.

package instance

import (
	"errors"
	"math"
	"time"

	"thymechute/internal/fake/stub"
)

const (
	reloadsEach = time.Second      // apart, beside a load
	reloadRate  = 200.0            // requests a second beside the single reloads
	slowReload  = 5 * time.Second  // past it no further one is tried at this size
	manyLimit   = 10 * time.Second // of the reloads with nothing beside them
	probed      = 5                // reloads with a probe
	allReloads  = 20
	beforePart  = 5                      // part of the load beside a single reload that comes before it
	startProbe  = 300 * time.Millisecond // for the limit to act after the start
)

// row is what was measured of one program.
type row struct {
	tenants, classes int
	fileBytes        int
	start            float64 // ms
	limitAtStart     bool
	residentStart    float64 // MB
	resident1        float64 // after so many reloads
	resident5        float64
	resident20       float64
	peak             float64
	unserved         int // of the loads without reloads
	sent             int

	first     reload
	inForce   []float64 // ms, of each probed reload
	logged    []float64 // ms, the same
	waits     *stub.Distribution
	processor float64 // ms a reload
	same      reload
	faulty    reload
	oddWaits  *stub.Distribution

	quiet     map[float64]*stub.Distribution // by rate
	reloading map[float64]*stub.Distribution
	late      time.Duration // p99 of the generator's own
	fault     string        // why it ended early
}

// serves tells whether the program started.
func (r *row) serves() bool { return r.start > 0 }

// whole tells whether reloads were taken.
func (r *row) whole() bool { return r.fault == "" }

// wait is one beside a reload in milliseconds; not a number where the reload was not over when it was last looked at: what waited
// then was cut off, and no fit may take it for the whole.
func (r *row) wait(t time.Duration) float64 {
	if r.first.outcome == silent {
		return math.NaN()
	}
	return milliseconds(t)
}

// atLeast goes before a wait that was cut off.
func (r *row) atLeast() string {
	if r.first.outcome == silent {
		return "at least "
	}
	return ""
}

// measureRow starts a program of that size and takes it through the script; loaded adds the loads with and without reloads.
func (m *measuring) measureRow(d deployment, change func(*deployment), loaded bool) (*row, error) {
	d.sockets, d.limited = sockets, true
	r, started, err := m.start(d)
	if refusal := (*startError)(nil); errors.As(err, &refusal) {
		return &row{tenants: d.tenants, classes: d.classes, fault: err.Error(), waits: stub.NewDistribution()}, nil
	}
	if err != nil {
		return nil, err
	}
	defer r.end()
	s := &script{m: m, rig: r, probe: r.newProbe(), row: &row{tenants: d.tenants, classes: d.classes, start: milliseconds(started),
		quiet: map[float64]*stub.Distribution{}, reloading: map[float64]*stub.Distribution{}}}
	defer s.probe.close()
	if s.row.residentStart, err = r.resident(); err != nil {
		return nil, err
	}
	if err := s.prepare(change); err != nil {
		return nil, err
	}
	if err := s.run(loaded); err != nil {
		return nil, err
	}
	s.row.peak = r.peak()
	return s.row, nil
}
