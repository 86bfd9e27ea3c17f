// Command testbed is a development tool for thymechute: it starts fakes of external systems and runs experiments with the
// real program or the emulator. Everything stays on loopback and is bounded in count and time. Exit codes: 0 when the
// experiment's claim holds, 1 when it does not hold or could not be checked, 2 for a command-line error.
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

// usageError is an invalid command line; main exits with exitUsage for it.
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
	fake := &cobra.Command{Use: "fake", Aliases: []string{"stand"}, Short: "Start a fake of an external system"}
	fake.AddCommand(fakeBrokerCommand(), fakeRuntimeCommand())
	run := &cobra.Command{Use: "run", Short: "Run an experiment with the real program and fakes, or in the emulator"}
	run.AddCommand(amqpCommand(), amqpStormCommand(), fleetCommand(), subsetsCommand(), ownerCommand(), ringCommand(), rollCommand(),
		configurationCommand(), scaleCommand())
	root.AddCommand(fake, run, scaleMembersCommand(), scaleLogCommand())
	return root
}
