package main

import (
	"os"

	"github.com/spf13/cobra"

	"thymechute/internal/lab"
	"thymechute/internal/lab/rig"
)

// amqpCommand returns the experiment on the AMQP consumer with a faulty broker.
func amqpCommand() *cobra.Command {
	return newExperimentCommand("amqp",
		"Two instances at a broker that loses acks, cuts connections and restarts; then the cost compared with JSON-RPC",
		sizeRange{defaultSize: 100_000, minSize: 200, maxSize: 10_000_000, unit: "messages"}, withProgram(lab.AMQP))
}

// amqpStormCommand returns the experiment on the AMQP consumer with repeated redelivery.
func amqpStormCommand() *cobra.Command {
	return newExperimentCommand("amqp-storm", "Two instances at a broker that delivers every message six times",
		sizeRange{defaultSize: 50_000, minSize: 200, maxSize: 10_000_000, unit: "messages"}, withProgram(lab.AMQPStorm))
}

// fleetCommand returns the experiment on membership.
func fleetCommand() *cobra.Command {
	return newExperimentCommand("fleet", "Members join, are killed, paused, restarted and drained; all views must agree within 2 s",
		sizeRange{defaultSize: 24, minSize: 4, maxSize: 64, unit: "members at peak"}, withProgram(lab.Fleet))
}

// withProgram returns a function that runs an experiment with the thymechute executable in the directory of testbed. The
// experiment gets a temporary directory, which is removed afterwards.
func withProgram(run lab.Experiment) func(trialOptions) (*lab.Report, error) {
	return func(options trialOptions) (*lab.Report, error) {
		program, err := programPath()
		if err != nil {
			return nil, err
		}
		folder, err := os.MkdirTemp("", "testbed")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
		return run(lab.Options{Program: program, Folder: folder, Seed: options.seed, Size: options.size, Progress: options.progress})
	}
}

// programPath returns the path of the thymechute executable, which must be in the directory of testbed.
func programPath() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	return rig.ProgramBeside(executable)
}
