package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"thymechute/internal/lab"
)

// A report is printed whether its claim holds or not. A claim that does not hold, a size out of bounds and a run that fails
// each cause a different error.
func TestExperimentCommandPrintsItsReport(t *testing.T) {
	failed := errors.New("no port is free")
	for _, c := range []struct {
		name, args string
		run        func(trialOptions) (*lab.Report, error)
		out, errs  string
		usage      bool
		err        string
	}{
		{name: "holds", run: func(t trialOptions) (*lab.Report, error) {
			r := &lab.Report{}
			r.AddFigure("b_ms", float64(t.size))
			r.ExpectZero("a", 0)
			t.progress("half way")
			return r, nil
		}, out: "b_ms 7\na    0\n", errs: "half way\n"},
		{name: "as JSON", args: "--json --size 9 --seed 3", run: func(t trialOptions) (*lab.Report, error) {
			r := &lab.Report{}
			r.AddFigure("seed", float64(t.seed))
			r.AddFigure("b_ms", float64(t.size))
			return r, nil
		}, out: `{"b_ms":9,"seed":3}` + "\n"},
		{name: "does not hold", run: func(trialOptions) (*lab.Report, error) {
			r := &lab.Report{}
			r.ExpectZero("lost", 2)
			return r, nil
		}, out: "lost 2\n", errs: "lost is 2, expected 0\n", err: "experiment try: its claim does not hold"},
		{name: "run fails", run: func(trialOptions) (*lab.Report, error) { return nil, failed }, err: failed.Error()},
		{name: "too large", args: "--size 11", run: func(trialOptions) (*lab.Report, error) { panic("must not run with a size out of bounds") },
			usage: true, err: "--size: found 11, expected 5 to 10 members"},
	} {
		var out, errs bytes.Buffer
		command := newExperimentCommand("try", "", sizeRange{defaultSize: 7, minSize: 5, maxSize: 10, unit: "members"}, c.run)
		command.SetArgs(strings.Fields(c.args))
		command.SetOut(&out)
		command.SetErr(&errs)
		command.SilenceErrors, command.SilenceUsage = true, true
		err := command.Execute()
		errorText := ""
		if err != nil {
			errorText = err.Error()
		}
		if out.String() != c.out || errs.String() != c.errs || errorText != c.err || errors.As(err, &usageError{}) != c.usage {
			t.Errorf("%s: %q, %q, %v; expected %q, %q, %q", c.name, out.String(), errs.String(), err, c.out, c.errs, c.err)
		}
	}
}
