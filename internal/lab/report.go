package lab

import "fmt"

// Figure is one measured value. Its name ends in its unit where it has one, and is stable: stored results use it.
type Figure struct {
	Name  string
	Value float64
}

// Options are the options of a run of an experiment.
type Options struct {
	Program  string // path of the thymechute executable
	Folder   string // for the experiment's files; the caller removes it
	Seed     uint64 // of the random generators
	Size     int    // in the experiment's unit: messages or members
	Progress func(line string)
}

// Experiment runs an experiment. An error means that the claim could not be checked; the report then has the figures measured so
// far, or is nil.
type Experiment func(Options) (*Report, error)

// Report is the result of an experiment. Its figures are in the order in which they are printed.
type Report struct {
	Figures []Figure
	Faults  []string // reasons why the claim does not hold; empty when it holds
}

// AddFigure adds a figure.
func (r *Report) AddFigure(name string, value float64) {
	r.Figures = append(r.Figures, Figure{name, value})
}

// ExpectZero adds a figure whose expected value is 0, and a fault if it is not 0.
func (r *Report) ExpectZero(name string, value int) {
	r.AddFigure(name, float64(value))
	if value != 0 {
		r.AddFault("%s is %d, expected 0", name, value)
	}
}

// AddFault adds a reason why the claim does not hold.
func (r *Report) AddFault(why string, args ...any) {
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
