package lab

import "fmt"

// Figure is one measured value. Its name ends in its unit where it has one, and is stable: stored results use it.
type Figure struct {
	Name  string
	Value float64
}

// Experiment runs one experiment with the executable program and its files in folder. The report is set whenever figures
// were measured; an error means that the claim could not be checked. progress is called with one line at a time.
type Experiment func(program, folder string, seed uint64, size int, progress func(string)) (*Report, error)

// Report is the outcome of an experiment, with the figures in the order in which they are printed.
type Report struct {
	Figures []Figure
	Faults  []string // reasons why the claim does not hold; empty when it holds
}

// Put adds a figure.
func (r *Report) Put(name string, value float64) { r.Figures = append(r.Figures, Figure{name, value}) }

// Zero adds a figure that must be 0, and a fault when it is not.
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

// ByName returns the values of the figures by their names.
func (r *Report) ByName() map[string]float64 {
	values := map[string]float64{}
	for _, f := range r.Figures {
		values[f.Name] = f.Value
	}
	return values
}
