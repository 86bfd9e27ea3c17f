package main

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/lab"
	"thymechute/internal/lab/emulator"
)

// minMeanZoneSize is the minimum number of members per zone, on average.
const minMeanZoneSize = 6

// configurationCommand returns the experiment that simulates one day of configuration changes and failures. It runs in the
// emulator, without processes or sockets.
func configurationCommand() *cobra.Command {
	var zones int
	c := newExperimentCommand("configuration", "One day of configuration changes with faults, in the emulator",
		sizeRange{defaultSize: 1200, minSize: 24, maxSize: 3000, unit: "members, in 4 regions"}, func(t trialOptions) (*lab.Report, error) {
			scenario := emulator.NewConfigurationScenario(t.size)
			if zones != 0 {
				maxZones := t.size / minMeanZoneSize
				if zones < scenario.Regions || zones > maxZones {
					return nil, usageError{fmt.Errorf("--zones: found %d, expected %d to %d", zones, scenario.Regions, maxZones)}
				}
				scenario.Zones = zones
			}
			before := processorSeconds()
			result := emulator.RunConfiguration(scenario, t.seed)
			return configurationReport(scenario, result, processorSeconds()-before), nil
		})
	c.Flags().IntVar(&zones, "zones", 0, "zones in all regions together; 0 for the default: 40, or fewer below 400 members")
	c.Long = `Simulates the changes, restarts and machine losses of one day, compressed into two hours (12 minutes below 400 members), with
faults: a rack and a zone lost, a zone and regions partitioned, the lease holder paused and resumed, relays killed while they
push, byzantine relays, a release, half of all members restarted at once. The decisions are those of the program's packages;
processes and links are emulated, but delays, leases and polls keep their real times. Exits with 0 only if no limit or safety
rule is violated.

The experiment starts no process of thymechute and opens no socket, as the program does not distribute configuration yet.`
	return c
}

func configurationReport(scenario emulator.ConfigurationScenario, result emulator.ConfigurationResult, processorTime float64) *lab.Report {
	r := &lab.Report{}
	metrics := result.Metrics()
	for _, name := range slices.Sorted(maps.Keys(metrics)) {
		r.AddFigure(name, metrics[name])
	}
	r.AddFigure("emulated_s", scenario.Duration.Seconds())
	r.AddFigure("cpu_s_emulation", processorTime)
	stateBytes, historyBytes := emulator.MeasureConfigurationMemory(scenario)
	r.AddFigure("state_bytes_member", float64(stateBytes))
	r.AddFigure("history_bytes_member", float64(historyBytes))
	for _, violation := range result.Violations() {
		r.AddFault("%v", violation)
	}
	return r
}

// processorSeconds returns the user and system CPU time of this process so far.
func processorSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second)
}
