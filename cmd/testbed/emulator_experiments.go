package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/decide/subset"
	"thymechute/internal/lab"
	"thymechute/internal/lab/emulator"
)

// subsetsCommand plays the fleet's script of views in the emulator, every way of subsetting in turn, and holds the chosen
// way (stable ranks) to its claim: spread at most 1.10 at stable points, churn on members at most 1.5 of the least.
func subsetsCommand() *cobra.Command {
	const mostSpread, mostChurn, mostPer = 1.10, 1.5, 64
	var per int
	c := newExperimentCommand("subsets", "Subsets of services below as members join and leave, in the emulator",
		sizeRange{defaultSize: 24, minSize: 6, maxSize: 100_000, unit: "members at the most; services below are a quarter of it, at least 6"},
		func(t trialOptions) (*lab.Report, error) {
			if per < 1 || per > mostPer {
				return nil, usageError{fmt.Errorf("--subset: found %d, expected 1 to %d", per, mostPer)}
			}
			below := max(6, t.size/4)
			figures, err := emulator.Subsets(t.size, below, per, t.seed, 20)
			if err != nil {
				return nil, usageError{err}
			}
			r := &lab.Report{}
			r.Put("members_most", float64(t.size))
			r.Put("below", float64(below))
			r.Put("subset_size", float64(per))
			for _, f := range figures {
				r.Put(string(f.Way)+"_spread_max_over_mean", f.SpreadWorst)
				r.Put(string(f.Way)+"_churn_members_over_minimum", f.ChurnMembers)
				r.Put(string(f.Way)+"_churn_below_over_minimum", f.ChurnBelow)
				if f.Way != subset.WayDeterministic {
					continue
				}
				r.Put("subset_max_over_mean", f.SpreadWorst)
				r.Put("subset_churn_over_minimum", f.ChurnMembers)
				if f.SpreadWorst > mostSpread || f.ChurnMembers > mostChurn {
					r.Fault("spread %.3f (at most %.2f), churn %.2f (at most %.1f)", f.SpreadWorst, mostSpread, f.ChurnMembers, mostChurn)
				}
			}
			return r, nil
		})
	c.Flags().IntVar(&per, "subset", 3, "services below a member")
	return c
}

// ownerCommand holds the decisions on owners to their claim; its takeover is in emulated time, with leases of 1 s.
func ownerCommand() *cobra.Command {
	const mostTakeover = 3 * time.Second
	return newExperimentCommand("owner", "One owner a duty through pauses, cuts and cold restarts, in the emulator",
		sizeRange{defaultSize: 12, minSize: 2, maxSize: 5000, unit: "members"}, func(t trialOptions) (*lab.Report, error) {
			f, err := emulator.RunLeases(t.size, 120, t.seed)
			if err != nil {
				return nil, err
			}
			r := &lab.Report{}
			r.Zero("owners_at_once", f.ConcurrentHolders)
			r.Put("stale_tried", float64(f.StaleProposed))
			r.Zero("stale_accepted", f.StaleAccepted)
			r.Zero("stale_acted_on", f.StaleAdmitted)
			r.Put("decisions", float64(f.Decisions))
			r.Zero("tables_that_differ", f.DivergedTables)
			r.Put("takeover_ms_p99", float64(f.TakeoverP99.Milliseconds()))
			if f.StaleProposed == 0 || f.TakeoverP99 > mostTakeover {
				r.Fault("%d stale commands tried, takeover %v; expected some, and %v at most", f.StaleProposed, f.TakeoverP99, mostTakeover)
			}
			return r, nil
		})
}

// ringCommand holds the ring's plans to their claim, and prints the published ways beside it.
func ringCommand() *cobra.Command {
	const mostMoved, mostOverFair = 1, 1.05
	return newExperimentCommand("ring", "Backends join, leave, die and come back: keys moved, by the ring and by published ways, in the emulator",
		sizeRange{defaultSize: 6, minSize: 2, maxSize: 1000, unit: "backends at first"}, func(t trialOptions) (*lab.Report, error) {
			slots, keys := 4096, 100_000
			if t.size > 60 {
				slots, keys = 1<<16, 1_000_000
			}
			f, err := emulator.CompareRing(emulator.RingScenario{Backends: t.size, Slots: slots, Keys: keys, Seed: t.seed})
			if err != nil {
				return nil, err
			}
			r := &lab.Report{}
			r.Put("moved_over_least", f.MigrationsOverMinimum)
			r.Put("max_over_fair", f.SlotsOverFair)
			r.Put("table_bytes", float64(f.TableBytes))
			r.Put("plan_ms_most", float64(f.SlowestPlan.Microseconds())/1000)
			r.Put("slots", float64(slots))
			r.Put("keys", float64(keys))
			for _, w := range f.Algorithms {
				r.Put(w.Algorithm+"_keys_moved_over_least", w.MovedOverMinimum)
				r.Put(w.Algorithm+"_keys_max_over_fair", w.MaxOverFair)
			}
			if f.MigrationsOverMinimum > mostMoved || f.SlotsOverFair > mostOverFair {
				r.Fault("%.3f times the least moves, %.3f times the fair part; expected %d and %.2f at most",
					f.MigrationsOverMinimum, f.SlotsOverFair, mostMoved, mostOverFair)
			}
			return r, nil
		})
}

// rollCommand holds the roll to its claim in the emulator, with and without faults.
func rollCommand() *cobra.Command {
	const mostWaves = 1.15 // of the bound on waves
	return newExperimentCommand("roll", "A release rolled through zones while instances die, load rises and the owner changes, in the emulator",
		sizeRange{defaultSize: 24, minSize: 12, maxSize: 5000, unit: "instances, in 3 zones, or 6 from 300 on"}, func(t trialOptions) (*lab.Report, error) {
			zones := 3
			if t.size >= 300 {
				zones = 6
			}
			scenario := emulator.RolloutScenario{Instances: t.size, Zones: zones, Seed: t.seed}
			calm, err := emulator.Rollout(scenario)
			if err != nil {
				return nil, err
			}
			scenario.WithFaults = true
			f, err := emulator.Rollout(scenario)
			if err != nil {
				return nil, err
			}
			waves := float64(f.Waves) / float64(f.MinWaves)
			r := &lab.Report{}
			r.Put("zone_capacity_over_floor_min", f.MinCapacityOverRequired)
			r.Put("undisturbed_capacity_over_floor_min", calm.MinCapacityOverRequired)
			r.Put("capacity_over_load_min", f.MinCapacityOverLoad)
			r.Put("waves", float64(f.Waves))
			r.Put("waves_over_bound", waves)
			r.Zero("drained_twice", f.DuplicateDrains)
			r.Put("voters_away_most", float64(f.MaxVotersDraining))
			r.Put("rolled", f.CompletedFraction)
			r.Put("took_s", f.Duration.Seconds())
			r.Put("undisturbed_took_s", calm.Duration.Seconds())
			if f.MinCapacityOverRequired < 1 || calm.MinCapacityOverRequired < 1 {
				r.Fault("a zone's capacity was %.3f times its floor, %.3f undisturbed; expected 1 at least", f.MinCapacityOverRequired, calm.MinCapacityOverRequired)
			}
			if waves > mostWaves {
				r.Fault("%.3f times the bound on waves, expected %.2f at most", waves, mostWaves)
			}
			if f.MaxVotersDraining > 1 {
				r.Fault("%d voters away at once, expected 1 at most", f.MaxVotersDraining)
			}
			if f.CompletedFraction < 1-1e-9 || calm.CompletedFraction < 1-1e-9 {
				r.Fault("%.3f of the instances rolled, %.3f undisturbed; expected all", f.CompletedFraction, calm.CompletedFraction)
			}
			if !f.IsInfeasibleRejected {
				r.Fault("a floor that can't be kept was not refused")
			}
			return r, nil
		})
}
