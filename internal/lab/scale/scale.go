// Package scale measures how the state, traffic and CPU time of each role in the fleet grow with the fleet, and extrapolates to the
// size that it is designed for (targets.go, docs/CAPACITY.md). It contains what all parts of the measurement share: series of
// measured points, the fit of a growth model to them, and the result's encodings. Each part is a package below this one. Values at
// sizes that were not run are always marked as extrapolated.
//
// A Result and its series are owned by the part that fills them, without locks. They are bounded by the sizes that a part runs.
package scale

import (
	"context"
	"fmt"
)

// Series is one figure of one role, measured at several sizes. JSON names are those of stored results.
type Series struct {
	Name         string  `json:"name"` // ends in its unit, as in bytes_s_member
	Role         string  `json:"role"` // member, log_leader, log_follower, control_machine, ...
	SizeUnit     string  `json:"of"`   // what the size counts, as in members
	Points       []Point `json:"points"`
	Target       float64 `json:"target"`          // size to extrapolate to
	Bound        float64 `json:"bound,omitempty"` // maximum at the target; 0 for none
	Coverage     string  `json:"ran,omitempty"`   // up to which size it was run, and why no further
	Fit          Fit     `json:"fit"`
	Extrapolated float64 `json:"at_target"` // value at Target by the fit
}

// Result is the measurements of one part.
type Result struct {
	Part    string             `json:"part"`
	Seed    uint64             `json:"seed"`
	Series  []Series           `json:"series"`
	Figures map[string]float64 `json:"single,omitempty"` // figures of one size only, by name
	NotRun  []string           `json:"not_run,omitempty"`
	Faults  []string           `json:"faults,omitempty"` // claims that do not hold
}

// Part is one group of measurements.
type Part interface {
	// Name identifies the part on the command line and in results.
	Name() string
	// Run measures until the context ends, and leaves no process behind.
	Run(ctx context.Context, options Options) (*Result, error)
}

// Options are the options of a run.
type Options struct {
	Seed     uint64
	Folder   string            // for its files; the caller removes it
	Program  string            // path of the thymechute executable
	Progress func(line string) // called with one line at a time, by any goroutine of the part; nil for none
}

// ReportProgress calls Progress, unless that is nil.
func (o Options) ReportProgress(line string) {
	if o.Progress != nil {
		o.Progress(line)
	}
}

// AddSeries fits a model to a series and adds it. It returns the error of FitPoints. A value over its bound is reported and no fault.
func (r *Result) AddSeries(series Series) error {
	fit, err := FitPoints(series.Points)
	if err != nil {
		return fmt.Errorf("%s: %w", series.Name, err)
	}
	series.Fit = fit
	series.Extrapolated = fit.At(series.Target)
	r.Series = append(r.Series, series)
	return nil
}

// SetFigure adds a figure of one size only.
func (r *Result) SetFigure(name string, value float64) {
	if r.Figures == nil {
		r.Figures = map[string]float64{}
	}
	r.Figures[name] = value
}

// AddFault records a claim that does not hold.
func (r *Result) AddFault(format string, values ...any) {
	r.Faults = append(r.Faults, fmt.Sprintf(format, values...))
}
