// This file owns the experiment on configuration: the decisions in the emulator, no process and no socket. It must never
// print a figure that was not counted in its own run.

package main

import (
	"fmt"
	"maps"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"thymechute/internal/lab"
	"thymechute/internal/lab/emulator"
)

const minMembersPerZone = 6 // members, on the mean

// configurationCommand plays a day's changes and failures, compressed, and holds the decisions to their claim.
func configurationCommand() *cobra.Command {
	var zones int
	c := newExperimentCommand("configuration", "A day's changes of configuration through the plan's failures, in the emulator",
		sizeRange{defaultSize: 1200, minSize: 24, maxSize: 3000, unit: "members, in 4 regions"}, func(t trialOptions) (*lab.Report, error) {
			day := emulator.NewConfigurationDay(t.size)
			if most := t.size / minMembersPerZone; zones != 0 && (zones < day.Regions || zones > most) {
				return nil, usageError{fmt.Errorf("--zones: found %d, expected %d to %d", zones, day.Regions, most)}
			}
			if zones != 0 {
				day.Zones = zones
			}
			before := cpuSeconds()
			f := emulator.Configuration(day, t.seed)
			spent := cpuSeconds() - before
			return configurationReport(day, f, spent), nil
		})
	c.Flags().IntVar(&zones, "zones", 0, "zones of all regions together; 0: 40, fewer under 400 members")
	c.Long = `A day's changes, restarts and deaths, compressed into two hours (12 minutes under 400 members), with the plan's
failures: a rack, a zone and regions lost or cut, the owner paused and woken, relays killed as they send, a relay that
lies, a release, half of all restarted at once. Decisions, message bytes and chance are emulated; delays, leases and
polls keep their real times. Ends with 0 only if all claims hold.

No process of thymechute and no socket is run yet: nothing in the program carries configuration so far.`
	return c
}

func configurationReport(day emulator.ConfigurationDay, f emulator.ConfigurationFigures, spent float64) *lab.Report {
	r := &lab.Report{}
	figures := f.ByName()
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		r.Put(name, figures[name])
	}
	r.Put("emulated_s", day.Span.Seconds())
	r.Put("cpu_s_emulation", spent)
	state, history := emulator.ConfigurationMemory(day)
	r.Put("state_bytes_member", float64(state))
	r.Put("history_bytes_member", float64(history))
	for _, fault := range f.Faults() {
		r.Fault("%v", fault)
	}
	return r
}

// cpuSeconds is what this process has spent, in user and system.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}
