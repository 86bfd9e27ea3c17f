// Package scale measures how the state, traffic and CPU time of each role in the fleet grow with the fleet's size, and extrapolates
// them to the size that the fleet is designed for (targets.go, docs/CAPACITY.md). This package holds what all parts of the
// measurement share: series of measured points, the fit of a growth model to them, and the encodings of the result. Each part is a
// subpackage. Values at sizes that were not run are always marked as extrapolated.
//
// A Result and its series are owned by the part that fills them and have no locks. Their size is bounded by the number of sizes
// that a part runs.
package scale

import (
	"context"
	"fmt"
)

// Series is one figure of one role, measured at several sizes. The JSON names are those of stored results.
type Series struct {
	Name         string  `json:"name"` // includes the unit, as in bytes_s_member
	Role         string  `json:"role"` // member, log_leader, log_follower, control_machine, ...
	SizeUnit     string  `json:"of"`   // what the size counts, for example members
	Points       []Point `json:"points"`
	Target       float64 `json:"target"`          // the size to extrapolate to
	Bound        float64 `json:"bound,omitempty"` // maximum at the target; 0 for none
	Coverage     string  `json:"ran,omitempty"`   // which sizes and conditions were run
	Fit          Fit     `json:"fit"`
	Extrapolated float64 `json:"at_target"` // the fitted value at Target
}

// Result holds the measurements of one part.
type Result struct {
	Part    string             `json:"part"`
	Seed    uint64             `json:"seed"`
	Series  []Series           `json:"series"`
	Figures map[string]float64 `json:"single,omitempty"` // values measured at one size only, by name of the figure
	NotRun  []string           `json:"not_run,omitempty"`
	Faults  []string           `json:"faults,omitempty"` // the claims that do not hold, as text
}

// Part is one group of measurements.
type Part interface {
	// Name identifies the part on the command line and in results.
	Name() string
	// Run measures until it is done or the context ends. It leaves no process behind.
	Run(ctx context.Context, options Options) (*Result, error)
}

// Options are the options of a run.
type Options struct {
	Seed     uint64
	Folder   string            // directory for the part's files; the caller removes it
	Program  string            // path of the thymechute executable
	Progress func(line string) // receives one line per call, from any goroutine of the part; may be nil
}

// ReportProgress calls Progress unless it is nil.
func (o Options) ReportProgress(line string) {
	if o.Progress != nil {
		o.Progress(line)
	}
}

// AddSeries fits a model to a series and adds the series. It returns the error of FitPoints. A value over its bound is not a fault:
// WriteText only marks it.
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

// SetFigure sets a figure that was measured at one size only.
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
