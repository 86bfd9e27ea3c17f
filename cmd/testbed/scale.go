package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/lab/scale"
	"thymechute/internal/lab/scale/decisions"
	"thymechute/internal/lab/scale/instance"
	"thymechute/internal/lab/scale/members"
	"thymechute/internal/lab/scale/raftlog"
)

// scaleParts are the parts of the scale measurements, in the order in which they run.
var scaleParts = []scale.Part{members.Part{}, raftlog.Part{}, instance.New(), decisions.Part{}}

// scalePartTimeout limits the run time of each part.
const scalePartTimeout = 15 * time.Minute

// scaleOptions are the flags of scaleCommand.
type scaleOptions struct {
	part   string // name of the only part to run; empty for all parts
	seed   uint64
	asJSON bool
}

// scaleCommand returns the command that runs all parts of the scale measurements, or one of them.
func scaleCommand() *cobra.Command {
	var options scaleOptions
	c := &cobra.Command{Use: "scale", Short: "How state, messages, time and memory of each role grow, extrapolated to 1,200 instances",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			parts, err := selectParts(options.part)
			if err != nil {
				return usageError{err}
			}
			for _, p := range parts {
				if err := runPart(c, p, options); err != nil {
					return err
				}
			}
			return nil
		}}
	c.Flags().StringVar(&options.part, "part", "", "run only this part: "+partNames())
	c.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the positions of faults and of the instances")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print one JSON object per part")
	return c
}

// runPart runs one part in a temporary directory and prints its result. It returns an error if a claim of the part does not hold.
func runPart(c *cobra.Command, part scale.Part, flags scaleOptions) error {
	program, err := programPath()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(c.Context(), scalePartTimeout)
	defer cancel()
	progress := func(line string) { fmt.Fprintln(c.ErrOrStderr(), line) }
	result, err := part.Run(ctx, scale.Options{Seed: flags.seed, Folder: folder, Program: program, Progress: progress})
	if err != nil {
		return fmt.Errorf("scale, part %s: %w", part.Name(), err)
	}
	if flags.asJSON {
		err = result.WriteJSON(c.OutOrStdout())
	} else {
		result.WriteText(c.OutOrStdout())
	}
	if err != nil {
		return err
	}
	if len(result.Faults) > 0 {
		return fmt.Errorf("scale, part %s: its claims do not hold: %s", part.Name(), strings.Join(result.Faults, "; "))
	}
	return nil
}

// selectParts returns the part of the given name, or all parts for an empty name.
func selectParts(name string) ([]scale.Part, error) {
	if name == "" {
		return scaleParts, nil
	}
	n := slices.IndexFunc(scaleParts, func(p scale.Part) bool { return p.Name() == name })
	if n < 0 {
		return nil, fmt.Errorf("--part: found %q, expected one of %s", name, partNames())
	}
	return scaleParts[n : n+1], nil
}

func partNames() string {
	var names []string
	for _, p := range scaleParts {
		names = append(names, p.Name())
	}
	return strings.Join(names, ", ")
}
