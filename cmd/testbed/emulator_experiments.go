package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"thymechute/internal/decide/subset"
	"thymechute/internal/lab"
	"thymechute/internal/lab/emulator"
)

// subsetsCommand returns the experiment that compares the subsetting strategies with one script of views, and checks the one
// that the program uses (stable ranks).
func subsetsCommand() *cobra.Command {
	var subsetSize int
	c := newExperimentCommand("subsets", "Subsets of backends while members join and leave, in the emulator",
		sizeRange{defaultSize: 24, minSize: 6, maxSize: 100_000, unit: "members in the largest view; a quarter as many backends, at least 6"},
		func(t trialOptions) (*lab.Report, error) { return compareSubsets(t, subsetSize) })
	c.Flags().IntVar(&subsetSize, "subset", 3, "backends per member")
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

// checkSubsets checks the strategy that the program uses: the load imbalance in stable views, and the connections opened over the
// minimum when a member joins or leaves.
func checkSubsets(r *lab.Report, f emulator.StrategyFigures) {
	const maxImbalance, maxChurn = 1.10, 1.5
	r.AddFigure("subset_max_over_mean", f.WorstImbalance)
	r.AddFigure("subset_churn_over_minimum", f.MemberChurn)
	if f.WorstImbalance > maxImbalance || f.MemberChurn > maxChurn {
		r.AddFault("stable ranks: load imbalance %.3f, expected at most %.2f; connections opened %.2f times the minimum, expected at most %.1f",
			f.WorstImbalance, maxImbalance, f.MemberChurn, maxChurn)
	}
}

// ownerCommand returns the experiment on the lease algorithm. Times are simulated; a lease lasts 1 s.
func ownerCommand() *cobra.Command {
	return newExperimentCommand("owner", "At most one lease holder per duty despite pauses, partitions and restarts, in the emulator",
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
		r.AddFault("%d stale commands proposed, takeover in %v (99th percentile); expected at least 1 command and at most %v",
			f.StaleProposed, f.TakeoverP99, maxTakeover)
	}
	return r, nil
}

// ringCommand returns the experiment that checks the ring's plans and measures published algorithms for comparison.
func ringCommand() *cobra.Command {
	return newExperimentCommand("ring",
		"Keys moved when backends join, leave, fail and return, by the ring and by published algorithms, in the emulator",
		sizeRange{defaultSize: 6, minSize: 2, maxSize: 1000, unit: "backends at the start"}, compareRing)
}

func compareRing(t trialOptions) (*lab.Report, error) {
	const (
		maxMigrationRatio    = 1
		maxSlotRatio         = 1.05
		maxSmallRingBackends = 60 // backends; with more of them, manySlots and manyKeys are used
		fewSlots, fewKeys    = 4096, 100_000
		manySlots            = 1 << 16
		manyKeys             = 1_000_000
	)
	scenario := emulator.RingScenario{Backends: t.size, Slots: fewSlots, Keys: fewKeys, Seed: t.seed}
	if t.size > maxSmallRingBackends {
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
	if f.MigrationsOverMinimum > maxMigrationRatio || f.MaxSlotsOverFairShare > maxSlotRatio {
		r.AddFault("%.3f times the minimum of migrations, %.3f times the fair share of slots; expected at most %d and %.2f",
			f.MigrationsOverMinimum, f.MaxSlotsOverFairShare, maxMigrationRatio, maxSlotRatio)
	}
	return r, nil
}

// rollCommand returns the experiment that checks a rollout with and without faults.
func rollCommand() *cobra.Command {
	return newExperimentCommand("roll",
		"A release rolled out in all zones while instances fail, the load rises and the leader changes, in the emulator",
		sizeRange{defaultSize: 24, minSize: 12, maxSize: 5000, unit: "instances, in 3 zones; from 300 instances on, in 6 zones"}, runRollout)
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

// checkRollout adds a fault for each requirement that is not met.
func checkRollout(r *lab.Report, f, undisturbed emulator.RolloutFigures) {
	const maxWaveRatio, rounding = 1.15, 1e-9
	if f.MinCapacityOverRequired < 1 || undisturbed.MinCapacityOverRequired < 1 {
		r.AddFault("the lowest capacity of a zone was %.3f times the required one, %.3f without faults; expected at least 1",
			f.MinCapacityOverRequired, undisturbed.MinCapacityOverRequired)
	}
	if waves := wavesOverBound(f); waves > maxWaveRatio {
		r.AddFault("%.3f times the lower bound on waves, expected at most %.2f", waves, maxWaveRatio)
	}
	if f.MaxVotersDraining > 1 {
		r.AddFault("%d voters draining at the same time, expected at most 1", f.MaxVotersDraining)
	}
	if f.CompletedFraction < 1-rounding || undisturbed.CompletedFraction < 1-rounding {
		r.AddFault("fraction of the instances that run the new release: %.3f, %.3f without faults; expected 1",
			f.CompletedFraction, undisturbed.CompletedFraction)
	}
	if !f.IsInfeasibleRejected {
		r.AddFault("a plan whose required capacity cannot be kept was accepted, expected an error")
	}
}
