package decisions

import (
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/rollout"
	"thymechute/internal/fleet/rolling"
	"thymechute/internal/lab/emulator"
)

const (
	rolloutDrainTime    = 30 * time.Second // from the start of a drain to the restart
	rolloutLossAt       = 10 * time.Minute
	rolloutLossDuration = 10 * time.Minute
	rolloutMaxDuration  = 3 * time.Hour
	rolloutLoad         = 0.7                // of a zone's capacity; with the load of a lost region added there is no capacity left for a drain
	releaseDrainTime    = 3300 * time.Second // to drain half of the members; the rest of the hour is for the last restarts
	memberCapacity      = 100                // work items per second
	memberLoad          = 60                 // work items per second
	installedRelease    = "2026.11.30-1"
	wantedRelease       = "2026.12.01-1"
)

// maxUnavailable returns the number of concurrent replacements that is needed to replace half of the members within an hour.
func (l Layout) maxUnavailable() int {
	return int(float64(l.Size/2)*(rolloutDrainTime+time.Second).Seconds()/releaseDrainTime.Seconds()) + 1
}

func (l Layout) rolloutLimits() rollout.Limits {
	return rollout.Limits{MinCapacityFraction: 0.6, LoadHeadroom: 1.05, MaxUnavailable: l.maxUnavailable(), ReplaceTimeout: 2 * time.Minute,
		InitialCapacityFraction: 0.2, WarmUpTime: 16 * time.Second}
}

// rolloutMembers returns the members, half of which already run the new release. Lost members restart with it, except those of a
// lost region.
func (l Layout) rolloutMembers(loss Loss) []emulator.RolloutMember {
	members := make([]emulator.RolloutMember, l.Size)
	for n := range members {
		members[n] = emulator.RolloutMember{Zone: l.zoneName(n), IsUpdated: n%2 == 1, IsLost: loss.contains(n),
			IsUpdatedByLoss: loss.Kind != lossOfRegion}
	}
	emulator.SpreadVoters(members, targetVoters)
	return members
}

// instances returns the members as the leader of the rollout sees them, all with the old release, and the load of each zone.
func (l Layout) instances() (fleet []rollout.Instance, load map[string]float64) {
	load = map[string]float64{}
	for n, m := range l.rolloutMembers(Loss{}) {
		fleet = append(fleet, rollout.Instance{Name: processName(n, 0), Zone: m.Zone, Release: installedRelease,
			Incarnation: sampleIncarnation + uint64(n), Capacity: memberCapacity, Age: time.Hour, IsVoter: m.IsVoter, IsLeader: m.IsLeader})
		load[m.Zone] += memberLoad
	}
	return fleet, load
}

func measureRollout(c *collector, l Layout) error {
	fleet, load := l.instances()
	var err error
	plan := func(limits rollout.Limits) func(int) {
		return func(int) { _, _, err = rollout.Plan(fleet, load, wantedRelease, limits) }
	}
	paced := l.rolloutLimits()
	c.addTiming("roll_plan_paced", "owner_of_roll", l.Size, plan(paced))
	fast := paced
	fast.MaxUnavailable = l.Size / 8
	c.addTiming("roll_plan_eighth", "owner_of_roll", l.Size, plan(fast))
	single := paced
	single.MaxUnavailable = 1
	c.addTiming("roll_plan_one_by_one", "owner_of_roll", l.Size, plan(single))
	state := rollout.New(wantedRelease)
	c.addTiming("roll_step", "owner_of_roll", l.Size, func(int) { state.Next(0, fleet, load, fast) })
	if err != nil {
		return err
	}
	return measureRolloutSizes(c, l, fleet, load)
}

// measureRolloutSizes measures the size of a drain's log entry, and of the table and its snapshot after all members were drained.
func measureRolloutSizes(c *collector, l Layout, fleet []rollout.Instance, load map[string]float64) error {
	bodies := rolloutCommands(l.rolloutLimits(), fleet, load)
	if len(bodies) < 2 {
		c.result.AddFault("rollout at %d members: no member was drained", l.Size)
		return nil
	}
	c.addPoint("roll_entry_bytes", "log_leader", 0, l.Size, float64(entryBytes(rolloutEntry(bodies[1]))))
	drained := func() any {
		r := rollout.New(wantedRelease)
		for _, i := range fleet {
			r.RecordDrain(time.Hour, i.Name, i.Incarnation)
		}
		return r
	}
	encoded, err := drained().(*rollout.Rollout).Encode()
	c.addPoint("roll_snapshot_bytes", "member", 0, l.Size, float64(len(encoded)))
	c.addPoint("roll_heap_bytes", "member", 0, l.Size, meanHeapBytes(drained))
	return err
}

// rolloutCommands returns the first commands of the leader of a rollout: the release and, after that was applied, the first drains.
func rolloutCommands(limits rollout.Limits, fleet []rollout.Instance, load map[string]float64) (bodies []string) {
	c := rolling.New(rolling.Config{
		Name:              "x",
		Limits:            limits,
		Fleet:             func() ([]rollout.Instance, map[string]float64) { return fleet, load },
		UnreachableVoters: func() []string { return nil },
		Propose: func(body string) bool {
			bodies = append(bodies, body)
			return true
		},
		Resign: func() {},
		Drain:  func() {},
		Notify: func(string) {},
	})
	c.SetRelease(wantedRelease)
	c.LeaseAcquired()
	c.Tick(time.Second)
	if len(bodies) == 1 {
		c.Apply(0, rolloutEntry(bodies[0]), accepted)
		c.Tick(2 * time.Second)
	}
	return bodies
}

func rolloutEntry(body string) lease.Command {
	return lease.Command{Kind: lease.Decide, Duty: rolling.Duty, Member: processName(0, 0), Incarnation: sampleIncarnation, Seq: 99999,
		Token: leaderToken, Body: body}
}

// measureRolloutLosses replaces half of the members within an hour while each kind of loss occurs. The remaining members take over
// the load of the lost ones. Members of a lost region are partitioned and return unchanged; those of other losses restart.
func measureRolloutLosses(c *collector, l Layout) error {
	r := newRandom(c.seed, 0x6011)
	for _, kind := range append([]LossKind{noLoss}, lossKinds...) {
		loss := Loss{Kind: kind}
		if kind != noLoss {
			loss = l.randomLoss(kind, r)
		}
		lost := loss.To - loss.From
		scenario := emulator.RolloutLossScenario{Members: l.rolloutMembers(loss), Limits: l.rolloutLimits(), DrainTime: rolloutDrainTime,
			LossAt: rolloutLossAt, LossDuration: rolloutLossDuration, Load: rolloutLoad,
			LoadShift: float64(l.Size) / float64(l.Size-lost), MaxDuration: rolloutMaxDuration}
		f, err := emulator.RunRolloutLoss(scenario)
		if err != nil {
			return err
		}
		c.addRolloutFigures("roll_"+l.label()+"_"+string(kind), f)
	}
	return nil
}

func (c *collector) addRolloutFigures(name string, f emulator.RolloutLossFigures) {
	for figure, value := range map[string]float64{"took_s": f.Duration.Seconds(), "held_s": f.BlockedTime.Seconds(), "drains": float64(f.Drains),
		"drains_in_loss": float64(f.DrainsDuringLoss), "resumed_s": f.ResumeDelay.Seconds(), "over_floor_min": f.MinCapacityOverRequired,
		"stuck_most": float64(f.MaxStuck)} {
		c.result.SetFigure(name+"_"+figure, value)
	}
	if f.DrainsBelowRequired > 0 || f.DuplicateDrains > 0 || f.MaxVotersDraining > 1 || f.CompletedFraction < 1-1e-9 || f.Duration == 0 {
		c.result.AddFault("%s: %d drains below the required capacity, %d duplicate, %d voters draining at once, %.3f updated, took %v", name,
			f.DrainsBelowRequired, f.DuplicateDrains, f.MaxVotersDraining, f.CompletedFraction, f.Duration)
	}
}
