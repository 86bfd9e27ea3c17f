// Command testbed is for who builds and tries thymechute: stand-ins of outside parties and experiments with the real
// program, on loopback only, each bounded in count and time. This file owns its command line. Exit codes: 0 the claim
// holds, 1 it does not or could not be tried, 2 a faulty command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is a fault of the command line.
type usageError struct{ error }

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "testbed:", err)
	if usage := (usageError{}); errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "testbed", Short: "Stand-ins and experiments around thymechute, on loopback",
		SilenceErrors: true, SilenceUsage: true, CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true}}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	stand := &cobra.Command{Use: "stand", Short: "Start a stand-in of an outside party"}
	stand.AddCommand(standBroker(), standRuntime())
	run := &cobra.Command{Use: "run", Short: "Run an experiment: the real program and stand-ins, or the emulator"}
	run.AddCommand(runAMQP(), runStorm(), runFleet(), runSubsets(), runOwner(), runRing(), runRoll(), runConfiguration(), runScale())
	root.AddCommand(stand, run, scaleMembers(), scaleLog())
	return root
}
