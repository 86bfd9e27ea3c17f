// This file owns the experiment on configuration: the decisions in the emulator, no process and no socket. It must never
// print a figure that was not counted in its own run.

package main

import (
	"maps"
	"slices"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"thymechute/internal/lab"
	"thymechute/internal/lab/emu"
)

// runConfiguration plays a day's changes and failures, compressed, and holds the decisions to their claim.
func runConfiguration() *cobra.Command {
	c := experiment("configuration", "A day's changes of configuration through the plan's failures, in the emulator",
		sizes{usual: 1200, least: 24, most: 3000, unit: "members, in 40 zones of 4 regions from 400 on"}, func(t trial) (*lab.Report, error) {
			day := emu.NewConfigurationDay(t.size)
			before := processorSeconds()
			f := emu.Configuration(day, t.seed)
			spent := processorSeconds() - before
			figures := f.ByName()
			figures["cpu_s_emulation"] = spent
			figures["emulated_s"] = day.Span.Seconds()
			state, history := emu.ConfigurationMemory(day)
			figures["state_bytes_member"], figures["history_bytes_member"] = float64(state), float64(history)
			r := &lab.Report{}
			for _, name := range slices.Sorted(maps.Keys(figures)) {
				r.Put(name, figures[name])
			}
			if fault := f.Fault(); fault != nil {
				r.Fault("%v", fault)
			}
			return r, nil
		})
	c.Long = `A day's changes, restarts and deaths, compressed into two hours (12 minutes under 400 members), with the plan's
failures: a rack, a zone and regions lost or cut, the owner paused and woken, relays killed as they send, a relay that
lies, a release, half of all restarted at once. Decisions, message bytes and chance are emulated; delays, leases and
polls keep their real times. Ends with 0 only if all claims hold.

No process of thymechute and no socket is run yet: nothing in the program carries configuration so far.`
	return c
}

// processorSeconds is what this process has spent, in user and system.
func processorSeconds() float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}
