// Package scale measures how what a role of the fleet holds, sends and spends grows with the fleet, and works out the
// figure at the size that is designed for (docs/CAPACITY.md). It owns the frame that all parts share: series of
// measured points, the fit of a model to them, and the report. A part lives in a package of its own below this one. It must
// never state a figure at a size that was not run without calling it worked out.
package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
)

// The size that is designed for.
const (
	TargetMembers       = 1200
	TargetCallers       = 17_000
	TargetCallerGroups  = 810
	TargetRequests      = 240_000 // a second, at the peak, of the whole fleet
	TargetRoutes        = 9800
	TargetTenants       = 60_000
	TargetRegions       = 4
	TargetZones         = 40   // the harder of both readings: ten in each region
	TargetChanges       = 2500 // of configuration, a day
	TargetControl       = 6    // machines set aside for control
	TargetAddedMillis   = 6.4  // added to a request, for 99 in 100
	TargetInForceMillis = 9000 // a change of configuration, everywhere

	BoundCorePercent = 1.1       // of a core, for control, a member
	BoundMemoryBytes = 128 << 20 // a member
	BoundBytesSecond = 6000      // for control, a member, both directions
)

// Series is one figure of one role, measured at several sizes.
type Series struct {
	Name   string  `json:"name"` // with its unit: bytes_s_member
	Role   string  `json:"role"` // member, log_leader, log_follower, control_machine, ...
	Of     string  `json:"of"`   // what the size counts: members, tenants, ...
	Points []Point `json:"points"`
	Target float64 `json:"target"`          // the size that is designed for
	Bound  float64 `json:"bound,omitempty"` // the most allowed at the target; 0: none stated
	Ran    string  `json:"ran,omitempty"`   // how far it was run, and why not further
	Fit    Fit     `json:"fit"`
	Worked float64 `json:"at_target"` // worked out by the fit
}

// Result is what a part has measured.
type Result struct {
	Part   string             `json:"part"`
	Seed   uint64             `json:"seed"`
	Series []Series           `json:"series"`
	Single map[string]float64 `json:"single,omitempty"` // figures of one size only, by name with unit
	NotRun []string           `json:"not_run,omitempty"`
	Faults []string           `json:"faults,omitempty"` // claims that do not hold
}

// Part is one group of measurements. It ends by itself, within the context, and leaves no process behind.
type Part interface {
	Name() string
	Run(ctx context.Context, options Options) (*Result, error)
}

// Options are what a run is given.
type Options struct {
	Seed     uint64
	Folder   string            // for its files; removed after it
	Program  string            // the path of cmd/thymechute's binary; empty where no part needs it
	Progress func(line string) // one line to whom waits
}

// Add fits a series and adds it to the result. A series over its bound is no fault of the run: the report says so.
func (r *Result) Add(series Series) error {
	fit, err := FitPoints(series.Points)
	if err != nil {
		return fmt.Errorf("%s: %w", series.Name, err)
	}
	series.Fit = fit
	series.Worked = fit.At(series.Target)
	r.Series = append(r.Series, series)
	return nil
}

// Put adds a figure that has one size only.
func (r *Result) Put(name string, value float64) {
	if r.Single == nil {
		r.Single = map[string]float64{}
	}
	r.Single[name] = value
}

// Fault adds a claim that does not hold.
func (r *Result) Fault(format string, values ...any) {
	r.Faults = append(r.Faults, fmt.Sprintf(format, values...))
}

// JSON prints the result as one object.
func (r *Result) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// Text prints the result as a table.
func (r *Result) Text(out io.Writer) {
	for _, s := range r.Series {
		fmt.Fprintf(out, "%s, %s by %s\n", s.Name, s.Role, s.Of)
		for _, p := range s.Points {
			fmt.Fprintf(out, "  at %-8.6g %.4g\n", p.Size, p.Value)
		}
		fmt.Fprintf(out, "  grows as %s: %.4g + %.4g * it; largest predicted %.4g, measured %.4g (off by %+.0f%%)\n", s.Fit.Model,
			s.Fit.Intercept, s.Fit.Slope, s.Fit.Predicted, s.Fit.Measured, s.Fit.Error*100)
		fmt.Fprintf(out, "  worked out at %.6g: %.4g%s\n", s.Target, s.Worked, s.verdict())
		if s.Ran != "" {
			fmt.Fprintf(out, "  run: %s\n", s.Ran)
		}
	}
	for name, value := range r.Single {
		fmt.Fprintf(out, "%-36s %.6g\n", name, value)
	}
	for _, line := range r.NotRun {
		fmt.Fprintf(out, "not run: %s\n", line)
	}
	for _, line := range r.Faults {
		fmt.Fprintf(out, "does not hold: %s\n", line)
	}
}

func (s Series) verdict() string {
	switch {
	case s.Bound == 0:
		return ""
	case s.Worked <= s.Bound:
		return fmt.Sprintf(", bound %.6g, headroom %.1f times", s.Bound, s.Bound/math.Max(s.Worked, 1e-9))
	default:
		return fmt.Sprintf(", OVER its bound %.6g by %.1f times", s.Bound, s.Worked/s.Bound)
	}
}
