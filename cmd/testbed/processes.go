// This file owns the experiments that start the real program.

package main

import (
	"github.com/spf13/cobra"

	"thymechute/internal/lab"
)

func runAMQP() *cobra.Command {
	return experiment("amqp", "Two instances at a broker that loses acks, cuts and restarts; then the cost beside JSON-RPC",
		sizes{usual: 100_000, least: 200, most: 10_000_000, unit: "messages"}, withProgram(lab.AMQP))
}

func runStorm() *cobra.Command {
	return experiment("amqp-storm", "Two instances at a broker that hands every message out six times",
		sizes{usual: 50_000, least: 200, most: 10_000_000, unit: "messages"}, withProgram(lab.AMQPStorm))
}

func runFleet() *cobra.Command {
	return experiment("fleet", "Members that grow, are killed, paused, restarted cold and leave; all must agree within 2 s",
		sizes{usual: 24, least: 4, most: 64, unit: "members at the most"}, withProgram(lab.Fleet))
}
