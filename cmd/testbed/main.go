// Command testbed is a development tool for thymechute: it runs fakes of external systems, and experiments with the real
// program or in the emulator. It uses loopback addresses only, and its experiments are bounded in size and time. Exit codes:
// 0 if the experiment's claim holds, 1 if it does not hold or could not be checked, 2 for a command-line error.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError is the error of an invalid command line, for which main exits with exitUsage.
type usageError struct{ error }

func main() {
	err := newRootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "testbed:", err)
	if usage := (usageError{}); errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{Use: "testbed", Short: "Fakes of external systems and experiments for thymechute, on loopback",
		SilenceErrors: true, SilenceUsage: true, CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true}}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	fake := &cobra.Command{Use: "fake", Aliases: []string{"stand"}, Short: "Run a fake of an external system"}
	fake.AddCommand(fakeBrokerCommand(), fakeRuntimeCommand())
	run := &cobra.Command{Use: "run", Short: "Run an experiment with the real program and fakes, or in the emulator"}
	run.AddCommand(amqpCommand(), amqpStormCommand(), fleetCommand(), subsetsCommand(), ownerCommand(), ringCommand(), rollCommand(),
		configurationCommand(), scaleCommand())
	root.AddCommand(fake, run, scaleMembersCommand(), scaleLogCommand())
	return root
}
