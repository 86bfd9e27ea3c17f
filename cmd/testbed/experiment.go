// This file owns the frame of all experiments: their flags, a folder and the program for those that start processes, and the
// printing of what they report.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"thymechute/internal/lab"
	"thymechute/internal/lab/rig"
)

// sizes are what --size may be.
type sizes struct {
	usual, least, most int
	unit               string
}

// trial is one run of an experiment, as its flags say.
type trial struct {
	seed     uint64
	size     int
	progress func(string) // a line at a time
}

// experiment is the command of an experiment. What run reports is printed, whether its claim holds or not; an error means
// that the claim could not be tried.
func experiment(name, short string, of sizes, run func(trial) (*lab.Report, error)) *cobra.Command {
	var t trial
	var asJSON bool
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if t.size < of.least || t.size > of.most {
			return usageError{fmt.Errorf("--size: found %d, expected %d to %d %s", t.size, of.least, of.most, of.unit)}
		}
		t.progress = func(line string) { fmt.Fprintln(c.ErrOrStderr(), line) }
		report, err := run(t)
		if err != nil {
			return err
		}
		if err := printFigures(c.OutOrStdout(), report.Figures, asJSON); err != nil {
			return err
		}
		for _, f := range report.Faults {
			fmt.Fprintln(c.ErrOrStderr(), f)
		}
		if len(report.Faults) > 0 {
			return fmt.Errorf("%s: its claim does not hold", name)
		}
		return nil
	}}
	c.Flags().Uint64Var(&t.seed, "seed", 1, "of all chance in the run")
	c.Flags().IntVar(&t.size, "size", of.usual, of.unit)
	c.Flags().BoolVar(&asJSON, "json", false, "print one object, figures by name")
	return c
}

// printFigures prints one JSON object, or a figure a line.
func printFigures(to io.Writer, figures []lab.Figure, asJSON bool) error {
	if asJSON {
		object := map[string]float64{}
		for _, f := range figures {
			object[f.Name] = f.Value
		}
		return json.NewEncoder(to).Encode(object)
	}
	width := 0
	for _, f := range figures {
		width = max(width, len(f.Name))
	}
	for _, f := range figures {
		if _, err := fmt.Fprintf(to, "%-*s %.6g\n", width, f.Name, f.Value); err != nil {
			return err
		}
	}
	return nil
}

// withProgram is a run that starts the program which stands beside testbed, in a folder of its own that is removed after it.
func withProgram(run func(program, folder string, seed uint64, size int, progress func(string)) (*lab.Report, error)) func(trial) (*lab.Report, error) {
	return func(t trial) (*lab.Report, error) {
		program, err := programBeside()
		if err != nil {
			return nil, err
		}
		folder, err := os.MkdirTemp("", "testbed")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
		return run(program, folder, t.seed, t.size, t.progress)
	}
}

// programBeside is the path of the program that stands beside testbed.
func programBeside() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	return rig.ProgramBeside(executable)
}
