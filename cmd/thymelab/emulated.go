// This file owns the experiments that run in the emulator alone: decisions at any size, no process and no socket. It
// must never print a figure that was not counted in its own run.

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"thymechute/internal/lab/emu"
)

// emulated is one such experiment: do returns its figures by name, and as an error the claim that does not hold.
func emulated(name, short string, size, least, most int, unit string,
	do func(seed uint64, size int) (map[string]float64, error)) *cobra.Command {
	var seed uint64
	var asJSON bool
	c := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if size < least || size > most {
			return faulty{fmt.Errorf("--size: found %d, expected %d to %d %s", size, least, most, unit)}
		}
		figures, fault := do(seed, size)
		if asJSON {
			_ = json.NewEncoder(c.OutOrStdout()).Encode(figures)
		} else {
			for _, k := range slices.Sorted(maps.Keys(figures)) {
				fmt.Fprintf(c.OutOrStdout(), "%-28s %.6g\n", k, figures[k])
			}
		}
		return fault
	}}
	c.Flags().Uint64Var(&seed, "seed", 1, "of all chance in the run")
	c.Flags().IntVar(&size, "size", size, unit)
	c.Flags().BoolVar(&asJSON, "json", false, "print one object, figures by name")
	return c
}

// runOwner holds the decisions on owners to their claim; its takeover is in emulated time, with leases of 1 s.
func runOwner() *cobra.Command {
	return emulated("owner", "One owner a duty through pauses, cuts and cold restarts, in the emulator", 12, 2, 5000, "members",
		func(seed uint64, size int) (map[string]float64, error) {
			f, err := emu.Owner(size, 120, seed)
			if err != nil {
				return nil, err
			}
			figures := map[string]float64{"owners_at_once": float64(f.OwnersAtOnce), "stale_tried": float64(f.StaleTried),
				"stale_accepted": float64(f.StaleAccepted), "stale_acted_on": float64(f.StaleActed), "decisions": float64(f.Decisions),
				"tables_that_differ": float64(f.Diverged), "takeover_ms_p99": float64(f.TakeoverP99.Milliseconds())}
			for _, name := range []string{"owners_at_once", "stale_accepted", "stale_acted_on", "tables_that_differ"} {
				if figures[name] != 0 {
					return figures, fmt.Errorf("owner: %s is %.0f, expected 0", name, figures[name])
				}
			}
			if f.StaleTried == 0 || f.TakeoverP99.Milliseconds() > 3000 {
				return figures, fmt.Errorf("owner: %d stale commands tried, takeover %v; expected some, and 3 s at most", f.StaleTried, f.TakeoverP99)
			}
			return figures, nil
		})
}

// runRing holds the ring's plans to their claim, and prints the published ways beside it.
func runRing() *cobra.Command {
	return emulated("ring", "Backends join, leave, die and come back: keys moved, by the ring and by published ways, in the emulator", 6, 2,
		1000, "backends at first", func(seed uint64, size int) (map[string]float64, error) {
			slots, keys := 4096, 100_000
			if size > 60 {
				slots, keys = 1<<16, 1_000_000
			}
			r, err := emu.Ring(size, slots, keys, seed)
			if err != nil {
				return nil, err
			}
			figures := map[string]float64{"moved_over_least": r.SlotsMoved, "max_over_fair": r.SlotsFair, "table_bytes": float64(r.Bytes),
				"plan_ms_most": float64(r.Plan.Microseconds()) / 1000, "slots": float64(slots), "keys": float64(keys)}
			for _, w := range r.Ways {
				figures[w.Way+"_keys_moved_over_least"], figures[w.Way+"_keys_max_over_fair"] = w.MovedOverLeast, w.MaxOverFair
			}
			if r.SlotsMoved > 1 || r.SlotsFair > 1.05 {
				return figures, fmt.Errorf("ring: %.3f times the least moves, %.3f times the fair part; expected 1.00 and 1.05 at most",
					r.SlotsMoved, r.SlotsFair)
			}
			return figures, nil
		})
}

// runRoll holds the roll to its claim in the emulator, with and without faults.
func runRoll() *cobra.Command {
	return emulated("roll", "A release rolled through zones while instances die, load rises and the owner changes, in the emulator", 24, 12,
		5000, "instances, in 3 zones, or 6 from 300 on", func(seed uint64, size int) (map[string]float64, error) {
			zones := 3
			if size >= 300 {
				zones = 6
			}
			calm, err := emu.Roll(size, zones, seed, false)
			if err != nil {
				return nil, err
			}
			f, err := emu.Roll(size, zones, seed, true)
			if err != nil {
				return nil, err
			}
			figures := map[string]float64{"zone_capacity_over_floor_min": f.OverFloorMin, "undisturbed_capacity_over_floor_min": calm.OverFloorMin,
				"capacity_over_load_min": f.OverLoadMin, "waves": float64(f.Waves), "waves_over_bound": float64(f.Waves) / float64(f.Bound),
				"drained_twice": float64(f.DrainedTwice), "voters_away_most": float64(f.VotersAtOnce), "rolled": f.Rolled,
				"took_s": f.Took.Seconds(), "undisturbed_took_s": calm.Took.Seconds()}
			if f.OverFloorMin < 1 || calm.OverFloorMin < 1 || figures["waves_over_bound"] > 1.15 || f.DrainedTwice > 0 || f.VotersAtOnce > 1 ||
				f.Rolled < 1-1e-9 || calm.Rolled < 1-1e-9 || !f.RefusedSpoken {
				return figures, fmt.Errorf("roll: its claim does not hold")
			}
			return figures, nil
		})
}
