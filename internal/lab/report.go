// This file owns what an experiment reports: its figures, and why its claim does not hold.

package lab

import "fmt"

// Figure is one number with its name, which ends in its unit where it has one.
type Figure struct {
	Name  string
	Value float64
}

// Report is what an experiment found, its figures in the order in which they are printed.
type Report struct {
	Figures []Figure
	Faults  []string // why the claim does not hold; none: it holds
}

// Put adds a figure.
func (r *Report) Put(name string, value float64) { r.Figures = append(r.Figures, Figure{name, value}) }

// Zero adds a figure that has to be 0, and a fault where it is not.
func (r *Report) Zero(name string, value int) {
	r.Put(name, float64(value))
	if value != 0 {
		r.Fault("%s is %d, expected 0", name, value)
	}
}

// Fault adds a reason why the claim does not hold.
func (r *Report) Fault(why string, args ...any) {
	r.Faults = append(r.Faults, fmt.Sprintf(why, args...))
}
