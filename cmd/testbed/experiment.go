package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"thymechute/internal/lab"
)

// sizeRange is the default and the inclusive bounds of an experiment's --size.
type sizeRange struct {
	defaultSize, minSize, maxSize int
	unit                          string
}

// trialOptions are the options of one run of an experiment.
type trialOptions struct {
	seed     uint64
	size     int
	progress func(string) // called with one line at a time
}

// newExperimentCommand returns the command of an experiment. It prints the report of run whether the experiment's claim holds or
// not. An error of run means that the claim could not be checked.
func newExperimentCommand(name, short string, allowed sizeRange, run func(trialOptions) (*lab.Report, error)) *cobra.Command {
	var options trialOptions
	var asJSON bool
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if options.size < allowed.minSize || options.size > allowed.maxSize {
			return usageError{fmt.Errorf("--size: found %d, expected %d to %d %s", options.size, allowed.minSize, allowed.maxSize, allowed.unit)}
		}
		options.progress = func(line string) { fmt.Fprintln(c.ErrOrStderr(), line) }
		report, err := run(options)
		if err != nil {
			return err
		}
		printReport := printText
		if asJSON {
			printReport = printJSON
		}
		if err := printReport(c.OutOrStdout(), report); err != nil {
			return err
		}
		for _, failure := range report.Faults {
			fmt.Fprintln(c.ErrOrStderr(), failure)
		}
		if len(report.Faults) > 0 {
			return fmt.Errorf("experiment %s: its claim does not hold", name)
		}
		return nil
	}}
	c.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the random generators")
	c.Flags().IntVar(&options.size, "size", allowed.defaultSize, allowed.unit)
	c.Flags().BoolVar(&asJSON, "json", false, "print one JSON object with the figures by name")
	return c
}

// printJSON prints the figures as one JSON object.
func printJSON(out io.Writer, report *lab.Report) error {
	return json.NewEncoder(out).Encode(report.ByName())
}

// printText prints one figure per line, with the values aligned.
func printText(out io.Writer, report *lab.Report) error {
	width := 0
	for _, f := range report.Figures {
		width = max(width, len(f.Name))
	}
	for _, f := range report.Figures {
		if _, err := fmt.Fprintf(out, "%-*s %.6g\n", width, f.Name, f.Value); err != nil {
			return err
		}
	}
	return nil
}
