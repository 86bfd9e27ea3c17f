package main

import (
	"os"

	"github.com/spf13/cobra"

	"thymechute/internal/lab"
	"thymechute/internal/lab/rig"
)

// amqpCommand is the experiment on the AMQP consumer with a faulty broker.
func amqpCommand() *cobra.Command {
	return newExperimentCommand("amqp", "Two instances at a broker that loses acks, cuts connections and restarts; then the cost beside JSON-RPC",
		sizeRange{defaultSize: 100_000, minSize: 200, maxSize: 10_000_000, unit: "messages"}, withProgram(lab.AMQP))
}

// amqpStormCommand is the experiment on the AMQP consumer under repeated redelivery.
func amqpStormCommand() *cobra.Command {
	return newExperimentCommand("amqp-storm", "Two instances at a broker that delivers every message six times",
		sizeRange{defaultSize: 50_000, minSize: 200, maxSize: 10_000_000, unit: "messages"}, withProgram(lab.AMQPStorm))
}

// fleetCommand is the experiment on membership.
func fleetCommand() *cobra.Command {
	return newExperimentCommand("fleet", "Members that join, are killed, paused, restarted and drained; all must agree within 2 s",
		sizeRange{defaultSize: 24, minSize: 4, maxSize: 64, unit: "members at the most"}, withProgram(lab.Fleet))
}

// withProgram runs an experiment with the thymechute executable beside testbed, in a temporary directory that is removed
// afterwards.
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

// programPath is the path of the thymechute executable in testbed's own directory.
func programPath() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	return rig.ProgramBeside(executable)
}
