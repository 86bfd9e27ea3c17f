package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/decide/subset"
	"thymechute/internal/lab"
	"thymechute/internal/lab/emulator"
)

// subsetsCommand compares the subsetting strategies in the emulator over one script of views, and checks the chosen one (stable
// ranks).
func subsetsCommand() *cobra.Command {
	var subsetSize int
	c := newExperimentCommand("subsets", "Subsets of backends as members join and leave, in the emulator",
		sizeRange{defaultSize: 24, minSize: 6, maxSize: 100_000, unit: "members at the most; backends are a quarter of it, at least 6"},
		func(t trialOptions) (*lab.Report, error) { return compareSubsets(t, subsetSize) })
	c.Flags().IntVar(&subsetSize, "subset", 3, "backends of a member")
	return c
}

func compareSubsets(t trialOptions, subsetSize int) (*lab.Report, error) {
	const maxSubsetSize, measuredSteps, minBackends, membersPerBackend = 64, 20, 6, 4
	if subsetSize < 1 || subsetSize > maxSubsetSize {
		return nil, usageError{fmt.Errorf("--subset: found %d, expected 1 to %d", subsetSize, maxSubsetSize)}
	}
	options := emulator.SubsetOptions{Members: t.size, Backends: max(minBackends, t.size/membersPerBackend), SubsetSize: subsetSize,
		Seed: t.seed, MaxMeasuredSteps: measuredSteps}
	figures, err := emulator.CompareSubsets(options)
	if err != nil {
		return nil, usageError{err}
	}
	r := &lab.Report{}
	r.AddFigure("members_most", float64(options.Members))
	r.AddFigure("below", float64(options.Backends))
	r.AddFigure("subset_size", float64(options.SubsetSize))
	for _, f := range figures {
		r.AddFigure(string(f.Strategy)+"_spread_max_over_mean", f.WorstImbalance)
		r.AddFigure(string(f.Strategy)+"_churn_members_over_minimum", f.MemberChurn)
		r.AddFigure(string(f.Strategy)+"_churn_below_over_minimum", f.BackendChurn)
		if f.Strategy == subset.StrategyDeterministic {
			checkSubsets(r, f)
		}
	}
	return r, nil
}

// checkSubsets checks the strategy that the program uses: load imbalance at stable views, and churn by members over the minimum.
func checkSubsets(r *lab.Report, f emulator.StrategyFigures) {
	const maxImbalance, maxChurn = 1.10, 1.5
	r.AddFigure("subset_max_over_mean", f.WorstImbalance)
	r.AddFigure("subset_churn_over_minimum", f.MemberChurn)
	if f.WorstImbalance > maxImbalance || f.MemberChurn > maxChurn {
		r.AddFault("spread %.3f (at most %.2f), churn %.2f (at most %.1f)", f.WorstImbalance, maxImbalance, f.MemberChurn, maxChurn)
	}
}

// ownerCommand checks the lease algorithm. Its takeover is in emulated time, with leases of 1 s.
func ownerCommand() *cobra.Command {
	return newExperimentCommand("owner", "One lease holder per duty through pauses, partitions and restarts, in the emulator",
		sizeRange{defaultSize: 12, minSize: 2, maxSize: 5000, unit: "members"}, runLeases)
}

func runLeases(t trialOptions) (*lab.Report, error) {
	const leases, maxTakeover = 120, 3 * time.Second
	f, err := emulator.RunLeases(emulator.LeaseScenario{Members: t.size, Leases: leases, Seed: t.seed})
	if err != nil {
		return nil, err
	}
	r := &lab.Report{}
	r.ExpectZero("owners_at_once", f.ConcurrentHolders)
	r.AddFigure("stale_tried", float64(f.StaleProposed))
	r.ExpectZero("stale_accepted", f.StaleAccepted)
	r.ExpectZero("stale_acted_on", f.StaleAdmitted)
	r.AddFigure("decisions", float64(f.Decisions))
	r.ExpectZero("tables_that_differ", f.DivergedTables)
	r.AddFigure("takeover_ms_p99", float64(f.TakeoverP99.Milliseconds()))
	if f.StaleProposed == 0 || f.TakeoverP99 > maxTakeover {
		r.AddFault("%d stale commands proposed, takeover %v; expected some, and %v at most", f.StaleProposed, f.TakeoverP99, maxTakeover)
	}
	return r, nil
}

// ringCommand checks the ring's plans, and reports published algorithms beside them.
func ringCommand() *cobra.Command {
	return newExperimentCommand("ring", "Backends join, leave, fail and come back: keys moved, by the ring and by published algorithms, in the emulator",
		sizeRange{defaultSize: 6, minSize: 2, maxSize: 1000, unit: "backends at first"}, compareRing)
}

func compareRing(t trialOptions) (*lab.Report, error) {
	const (
		maxMoved     = 1
		maxOverFair  = 1.05
		maxSmallRing = 60 // backends, with the smaller numbers of slots and keys
		slots, keys  = 4096, 100_000
		manySlots    = 1 << 16
		manyKeys     = 1_000_000
	)
	scenario := emulator.RingScenario{Backends: t.size, Slots: slots, Keys: keys, Seed: t.seed}
	if t.size > maxSmallRing {
		scenario.Slots = manySlots
		scenario.Keys = manyKeys
	}
	f, err := emulator.CompareRing(scenario)
	if err != nil {
		return nil, err
	}
	r := &lab.Report{}
	r.AddFigure("moved_over_least", f.MigrationsOverMinimum)
	r.AddFigure("max_over_fair", f.MaxSlotsOverFairShare)
	r.AddFigure("table_bytes", float64(f.TableBytes))
	r.AddFigure("plan_ms_most", float64(f.SlowestPlan.Microseconds())/1000)
	r.AddFigure("slots", float64(scenario.Slots))
	r.AddFigure("keys", float64(scenario.Keys))
	for _, a := range f.Algorithms {
		r.AddFigure(a.Algorithm+"_keys_moved_over_least", a.MovedOverMinimum)
		r.AddFigure(a.Algorithm+"_keys_max_over_fair", a.MaxOverFairShare)
	}
	if f.MigrationsOverMinimum > maxMoved || f.MaxSlotsOverFairShare > maxOverFair {
		r.AddFault("%.3f times the fewest migrations, %.3f times the fair share of slots; expected %d and %.2f at most",
			f.MigrationsOverMinimum, f.MaxSlotsOverFairShare, maxMoved, maxOverFair)
	}
	return r, nil
}

// rollCommand checks the rollout, with and without faults.
func rollCommand() *cobra.Command {
	return newExperimentCommand("roll", "A release rolled out through zones while instances fail, load rises and the lease holder changes, in the emulator",
		sizeRange{defaultSize: 24, minSize: 12, maxSize: 5000, unit: "instances, in 3 zones, or 6 from 300 on"}, runRollout)
}

func runRollout(t trialOptions) (*lab.Report, error) {
	const zones, manyZones, minSizeOfManyZones = 3, 6, 300
	scenario := emulator.RolloutScenario{Instances: t.size, Zones: zones, Seed: t.seed}
	if t.size >= minSizeOfManyZones {
		scenario.Zones = manyZones
	}
	undisturbed, err := emulator.RunRollout(scenario)
	if err != nil {
		return nil, err
	}
	scenario.WithFaults = true
	f, err := emulator.RunRollout(scenario)
	if err != nil {
		return nil, err
	}
	r := &lab.Report{}
	r.AddFigure("zone_capacity_over_floor_min", f.MinCapacityOverRequired)
	r.AddFigure("undisturbed_capacity_over_floor_min", undisturbed.MinCapacityOverRequired)
	r.AddFigure("capacity_over_load_min", f.MinCapacityOverLoad)
	r.AddFigure("waves", float64(f.Waves))
	r.AddFigure("waves_over_bound", wavesOverBound(f))
	r.ExpectZero("drained_twice", f.DuplicateDrains)
	r.AddFigure("voters_away_most", float64(f.MaxVotersDraining))
	r.AddFigure("rolled", f.CompletedFraction)
	r.AddFigure("took_s", f.Duration.Seconds())
	r.AddFigure("undisturbed_took_s", undisturbed.Duration.Seconds())
	checkRollout(r, f, undisturbed)
	return r, nil
}

func wavesOverBound(f emulator.RolloutFigures) float64 { return float64(f.Waves) / float64(f.MinWaves) }

// checkRollout adds a fault for each part of the claim that does not hold.
func checkRollout(r *lab.Report, f, undisturbed emulator.RolloutFigures) {
	const maxWaves, rounding = 1.15, 1e-9
	if f.MinCapacityOverRequired < 1 || undisturbed.MinCapacityOverRequired < 1 {
		r.AddFault("a zone's capacity was %.3f times the required, %.3f undisturbed; expected 1 at least", f.MinCapacityOverRequired, undisturbed.MinCapacityOverRequired)
	}
	if waves := wavesOverBound(f); waves > maxWaves {
		r.AddFault("%.3f times the bound on waves, expected %.2f at most", waves, maxWaves)
	}
	if f.MaxVotersDraining > 1 {
		r.AddFault("%d voters draining at once, expected 1 at most", f.MaxVotersDraining)
	}
	if f.CompletedFraction < 1-rounding || undisturbed.CompletedFraction < 1-rounding {
		r.AddFault("%.3f of the instances were replaced, %.3f undisturbed; expected all", f.CompletedFraction, undisturbed.CompletedFraction)
	}
	if !f.IsInfeasibleRejected {
		r.AddFault("a required capacity that cannot be kept was not rejected")
	}
}
