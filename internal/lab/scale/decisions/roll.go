// This file owns the roll: its plan and its steps timed, its words as internal/fleet/rolling encodes them, and a release
// that replaces half in an hour through each loss.

package decisions

import (
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/rollout"
	"thymechute/internal/fleet/rolling"
	"thymechute/internal/lab/emulator"
)

const (
	rollDrain   = 30 * time.Second // from a drain to the return
	rollLossAt  = 10 * time.Minute
	rollLossFor = 10 * time.Minute
	rollMost    = 3 * time.Hour
	rollLoad    = 0.7                // of a zone's capacity: with a region's load on top there is no room for a drain
	halfInHour  = 3300 * time.Second // of the hour, for the drains; the rest is the last ones' return
)

// atOnce is how many are on their way, if half the members are to be replaced within an hour.
func (l Layout) atOnce() int {
	return int(float64(l.Size/2)*(rollDrain+time.Second).Seconds()/halfInHour.Seconds()) + 1
}

func (l Layout) rollBounds() rollout.Bounds {
	return rollout.Bounds{Keep: 0.6, OverLoad: 1.05, AtOnce: l.atOnce(), Longest: 2 * time.Minute, ColdFrom: 0.2, WarmAfter: 16 * time.Second}
}

// places are the members, half of which run the release already.
func (l Layout) places(loss Loss, cold bool) []emulator.RollPlace {
	out := make([]emulator.RollPlace, l.Size)
	for n := range out {
		out[n] = emulator.RollPlace{Zone: l.zoneName(n), Runs: n%2 == 1, Lost: loss.takes(n), ComesBackCold: cold}
	}
	emulator.EveryNth(out, targetVoters)
	return out
}

// instances are the members as the roll's owner sees them, all at the old release, and their zones' loads.
func (l Layout) instances() (fleet []rollout.Instance, load map[string]float64) {
	load = map[string]float64{}
	for n, p := range l.places(Loss{}, false) {
		fleet = append(fleet, rollout.Instance{Name: processName(n, 0), Zone: p.Zone, Release: "2026.11.30-1", Life: 0x18f3a2b4c5000000 + uint64(n),
			Capacity: 100, Age: time.Hour, Voter: p.Voter, Owner: p.Owner})
		load[p.Zone] += 60
	}
	return fleet, load
}

const wantedRelease = "2026.12.01-1"

func measureRoll(c *collector, l Layout) error {
	fleet, load := l.instances()
	var err error
	plan := func(b rollout.Bounds) func(int) {
		return func(int) { _, _, err = rollout.Plan(fleet, load, wantedRelease, b) }
	}
	paced := l.rollBounds()
	c.timing("roll_plan_paced", "owner_of_roll", l.Size, plan(paced))
	fast := paced
	fast.AtOnce = l.Size / 8
	c.timing("roll_plan_eighth", "owner_of_roll", l.Size, plan(fast))
	single := paced
	single.AtOnce = 1
	c.timing("roll_plan_one_by_one", "owner_of_roll", l.Size, plan(single))
	agreed := rollout.New(wantedRelease)
	c.timing("roll_step", "owner_of_roll", l.Size, func(int) { agreed.Next(0, fleet, load, fast) })
	if err != nil {
		return err
	}
	return measureRollTables(c, l, fleet, load)
}

// measureRollTables drains all, and sizes entries, table and snapshot.
func measureRollTables(c *collector, l Layout, fleet []rollout.Instance, load map[string]float64) error {
	bodies := []string{}
	k := rolling.New(rolling.Config{Name: "x", Bounds: l.rollBounds(), Fleet: func() ([]rollout.Instance, map[string]float64) { return fleet, load },
		Absent: func() []string { return nil }, Decide: func(body string) bool { bodies = append(bodies, body); return true },
		HandOn: func() {}, Drain: func() {}, Say: func(string) {}})
	k.Want(wantedRelease)
	k.Held()
	entry := func(body string) lease.Command {
		return lease.Command{Kind: lease.Decide, Duty: rolling.Duty, Member: processName(0, 0), Incarnation: 0x18f3a2b4c5000000, Seq: 99999, Token: 7, Body: body}
	}
	k.Tick(time.Second)
	if len(bodies) == 1 {
		k.Entry(0, entry(bodies[0]), accepted)
		k.Tick(2 * time.Second)
	}
	if len(bodies) < 2 {
		c.result.Fault("roll at %d: nobody was drained", l.Size)
		return nil
	}
	c.point("roll_entry_bytes", "log_leader", 0, l.Size, float64(entryBytes(entry(bodies[1]))))
	drained := func() any {
		r := rollout.New(wantedRelease)
		for _, i := range fleet {
			r.Drained(time.Hour, i.Name, i.Life)
		}
		return r
	}
	encoded, err := drained().(*rollout.Roll).Encode()
	c.point("roll_snapshot_bytes", "member", 0, l.Size, float64(len(encoded)))
	c.point("roll_heap_bytes", "member", 0, l.Size, heapOf(drained))
	return err
}

// loseRoll rolls half in an hour through each loss; the others' load rises by what the lost part carried. A region is cut
// and comes back as it was; the rest comes back cold.
func loseRoll(c *collector, l Layout) error {
	r := chance(c.seed, 0x6011)
	for _, kind := range append([]string{"none"}, lossKinds...) {
		loss := Loss{Kind: kind}
		if kind != "none" {
			loss = l.drawn(kind, r)
		}
		script := emulator.RollLoss{Places: l.places(loss, kind != "region"), Bounds: l.rollBounds(), Drain: rollDrain, At: rollLossAt, For: rollLossFor,
			Load: rollLoad, Shift: float64(l.Size) / float64(l.Size-(loss.To-loss.From)), Most: rollMost}
		f, err := emulator.RollThrough(script)
		if err != nil {
			return err
		}
		c.rolled("roll_"+l.label()+"_"+kind, f)
	}
	return nil
}

func (c *collector) rolled(name string, f emulator.RollLossFigures) {
	for figure, value := range map[string]float64{"took_s": f.Took.Seconds(), "held_s": f.Held.Seconds(), "drains": float64(f.Drains),
		"drains_in_loss": float64(f.DrainsInLoss), "resumed_s": f.ResumedWithin.Seconds(), "over_floor_min": f.OverFloorMin,
		"stuck_most": float64(f.Stuck)} {
		c.result.Put(name+"_"+figure, value)
	}
	if f.UnderFloor > 0 || f.DrainedTwice > 0 || f.VotersAtOnce > 1 || f.Rolled < 1-1e-9 || f.Took == 0 {
		c.result.Fault("%s: %d drains under a floor, %d twice, %d voters at once, %.3f rolled, took %v", name, f.UnderFloor, f.DrainedTwice,
			f.VotersAtOnce, f.Rolled, f.Took)
	}
}
