package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteJSON writes the result as one JSON object.
func (r *Result) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteText writes the result as human-readable text. Write errors are ignored.
func (r *Result) WriteText(out io.Writer) {
	for _, s := range r.Series {
		s.writeText(out)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(out, "%-36s %.6g\n", name, r.Figures[name])
	}
	for _, line := range r.NotRun {
		fmt.Fprintf(out, "not run: %s\n", line)
	}
	for _, line := range r.Faults {
		fmt.Fprintf(out, "does not hold: %s\n", line)
	}
}

func (s Series) writeText(out io.Writer) {
	fmt.Fprintf(out, "%s, %s by %s\n", s.Name, s.Role, s.SizeUnit)
	for _, p := range s.Points {
		fmt.Fprintf(out, "  at %-8.6g %.4g\n", p.Size, p.Value)
	}
	fmt.Fprintf(out, "  grows as %s: %.4g + %.4g * it; largest predicted %.4g, measured %.4g (off by %+.0f%%)\n", s.Fit.Model,
		s.Fit.Intercept, s.Fit.Slope, s.Fit.Predicted, s.Fit.Measured, s.Fit.Error*100)
	fmt.Fprintf(out, "  worked out at %.6g: %.4g%s\n", s.Target, s.Extrapolated, s.compareWithBound())
	if s.Coverage != "" {
		fmt.Fprintf(out, "  run: %s\n", s.Coverage)
	}
}

// compareWithBound describes how the extrapolated value compares with the bound; empty if there is no bound.
func (s Series) compareWithBound() string {
	switch {
	case s.Bound == 0:
		return ""
	case s.Extrapolated <= s.Bound:
		return fmt.Sprintf(", bound %.6g, headroom %.1f times", s.Bound, s.Bound/max(s.Extrapolated, minValue))
	default:
		return fmt.Sprintf(", OVER its bound %.6g by %.1f times", s.Bound, s.Extrapolated/s.Bound)
	}
}
