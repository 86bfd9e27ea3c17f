package decisions

import (
	"fmt"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
	"thymechute/internal/fleet/slots"
	"thymechute/internal/lab/scale"
)

const (
	ringSlack          = 0.05
	acknowledgedLeases = 4
	tickInterval       = 20 * time.Millisecond
	fewSlots           = 64 // of the members that only acknowledge
	leaderToken        = 7
)

// ringTerms are a lease of 2 s, as the log's own.
var ringTerms = ring.LeaseTerms{Duration: 2 * time.Second, MaxDrift: 0.01, CancelDelay: 20 * time.Millisecond}

// table is a ring in force over all backends.
func (l Layout) table() (*ring.Table, error) {
	empty, err := ring.New(l.slots())
	if err != nil {
		return nil, err
	}
	table, _, _, err := empty.Plan(l.backends(), ring.BalanceBound{Slack: ringSlack}, nil)
	return table, err
}

// without is the backends that a loss leaves.
func without(backends []ring.Backend, loss Loss) (rest []ring.Backend) {
	for n, b := range backends {
		if !loss.contains(n) {
			rest = append(rest, b)
		}
	}
	return rest
}

// backendLosses places a loss among the backends as among the members.
func (l Layout) backendLosses() Layout {
	return Layout{Size: len(l.backends()), Zones: l.Zones, Regions: l.Regions}
}

func measureRing(c *collector, l Layout) error {
	table, err := l.table()
	if err != nil {
		return err
	}
	backends := l.backends()
	for _, kind := range []LossKind{lossOfMachine, lossOfRegion} {
		r := newRandom(c.seed, 0x41a6)
		c.addTiming("ring_plan_"+string(kind)+"_lost", "owner_of_ring", l.Size, func(int) {
			_, _, _, err = table.Plan(without(backends, l.backendLosses().randomLoss(kind, r)), ring.BalanceBound{Slack: ringSlack}, nil)
		})
	}
	if err != nil {
		return err
	}
	state := ring.ReplicatedState{Active: table}
	encoded, err := state.Encode()
	if err != nil {
		return err
	}
	c.addPoint("ring_snapshot_bytes", "member", 0, l.Size, float64(len(encoded)))
	c.addPoint("ring_table_heap_bytes", "member", 0, l.Size, meanHeapBytes(func() any { made, _ := l.table(); return made }))
	freeze, activation, err := migrationEntryBytes(l)
	if err != nil {
		return err
	}
	c.addPoint("ring_freeze_entry_bytes", "log_leader", 0, l.Size, float64(freeze))
	c.addPoint("ring_open_entry_bytes", "log_leader", 0, l.Size, float64(activation))
	return measureAcknowledgements(c, l)
}

// recordedLog is the log as one Controller sees it: what it proposes is recorded, and applied by the caller.
type recordedLog struct {
	process  string
	now      time.Duration
	seq      uint64
	proposed []lease.Command
}

func (l *recordedLog) propose(c lease.Command) uint64 {
	l.seq++
	c.Member, c.Incarnation, c.Seq, c.Duty = l.process, sampleIncarnation, l.seq, slots.Duty
	l.proposed = append(l.proposed, c)
	return l.seq
}

// DecideNow implements slots.Log.
func (l *recordedLog) DecideNow(_, body string) bool {
	l.propose(lease.Command{Kind: lease.Decide, Token: leaderToken, Body: body})
	return true
}

// Announce implements slots.Log.
func (l *recordedLog) Announce(_, body string) uint64 {
	return l.propose(lease.Command{Kind: lease.Announce, Body: body})
}

// Now implements slots.Log.
func (l *recordedLog) Now() time.Duration { return l.now }

// step ticks a controller, and applies what it proposes.
func (l *recordedLog) step(c *slots.Controller) (applied []lease.Command) {
	c.Tick(l.now)
	applied, l.proposed = l.proposed, nil
	for _, entry := range applied {
		c.Apply(l.now, entry, accepted)
	}
	l.now += tickInterval
	return applied
}

func newController(process string, slotCount int) (*slots.Controller, *recordedLog, error) {
	l := &recordedLog{process: process}
	c, err := slots.New(slots.Config{Process: process, Incarnation: sampleIncarnation, Slots: slotCount, Terms: ringTerms,
		Bound: ring.BalanceBound{Slack: ringSlack}, Notify: func(string) {}}, l)
	return c, l, err
}

var accepted = lease.Outcome{Accepted: true}

// migrate lets a leader freeze and activate a table over these backends, and returns both entries.
func migrate(c *slots.Controller, l *recordedLog, backends []ring.Backend) (entries []lease.Command, err error) {
	const wanted = 2
	c.SetBackends(backends)
	c.LeaseAcquired(0)
	for len(entries) < wanted && l.now < 10*ringTerms.Duration {
		for _, entry := range l.step(c) {
			if entry.Kind == lease.Decide {
				entries = append(entries, entry)
			}
		}
	}
	if len(entries) < wanted {
		return nil, fmt.Errorf("ring: found %d entries of a migration, expected a freeze and an activation", len(entries))
	}
	return entries[:wanted], nil
}

// migrationEntryBytes are the sizes of a migration's entries.
func migrationEntryBytes(l Layout) (freeze, activation int, err error) {
	c, log, err := newController(processName(0, 0), l.slots())
	if err != nil {
		return 0, 0, err
	}
	entries, err := migrate(c, log, l.backends())
	if err != nil {
		return 0, 0, err
	}
	return entryBytes(entries[0]), entryBytes(entries[1]), nil
}

// measureAcknowledgements counts what all members put into the log to renew their leases of a table that does not change.
func measureAcknowledgements(c *collector, l Layout) error {
	backends := Layout{Size: 12, Zones: 3, Regions: 1}.backends()
	leader, log, err := newController(processName(0, 0), fewSlots)
	if err != nil {
		return err
	}
	table, err := migrate(leader, log, backends)
	if err != nil {
		return err
	}
	count, bytes := 0, 0
	for n := range l.Size {
		entries, err := acknowledgements(processName(n, 0), table)
		if err != nil {
			return err
		}
		for _, entry := range entries {
			count++
			bytes += entryBytes(entry)
		}
	}
	seconds := (acknowledgedLeases * ringTerms.Duration).Seconds()
	c.addPoint("ring_acknowledgements_s", "log_leader", 0, l.Size, float64(count)/seconds)
	c.addPoint("ring_acknowledgement_bytes_s_member", "member", maxBytesPerSecond, l.Size, float64(bytes)/seconds)
	return nil
}

// acknowledgements are what one member proposes in acknowledgedLeases after a table has become active.
func acknowledgements(process string, table []lease.Command) (entries []lease.Command, err error) {
	c, log, err := newController(process, fewSlots)
	if err != nil {
		return nil, err
	}
	for _, entry := range table {
		c.Apply(0, entry, accepted)
	}
	for log.now < acknowledgedLeases*ringTerms.Duration {
		entries = append(entries, log.step(c)...)
	}
	return entries, nil
}

// measureRingLosses removes backends at once and adds them again: migrations over the minimum, and the slowest plan.
func measureRingLosses(c *collector, l Layout) error {
	table, err := l.table()
	if err != nil {
		return err
	}
	r := newRandom(c.seed, 0x41a7)
	backends := l.backends()
	for _, kind := range lossKinds {
		name := "ring_" + l.label() + "_" + string(kind)
		rest := without(backends, l.backendLosses().randomLoss(kind, r))
		less, err := c.plan(name+"_lost", table, rest)
		if err != nil {
			return err
		}
		if _, err := c.plan(name+"_back", less, backends); err != nil {
			return err
		}
	}
	return nil
}

// plan times and puts one plan. It returns the planned table.
func (c *collector) plan(name string, table *ring.Table, backends []ring.Backend) (*ring.Table, error) {
	var next *ring.Table
	var migrations []ring.Migration
	var minimum int
	var err error
	t := timeDecision(max(c.samples/3, 1), func(int) {
		next, migrations, minimum, err = table.Plan(backends, ring.BalanceBound{Slack: ringSlack}, nil)
	})
	if err != nil {
		return nil, err
	}
	c.result.SetFigure(name+"_moved", float64(len(migrations)))
	c.result.SetFigure(name+"_moved_over_least", float64(len(migrations))/float64(max(minimum, 1)))
	c.result.SetFigure(name+"_plan_ms_p50", scale.Milliseconds(t.p50))
	c.result.SetFigure(name+"_plan_ms_worst", scale.Milliseconds(t.worst))
	if len(migrations) > minimum {
		c.result.AddFault("%s: %d slots migrated, the minimum is %d", name, len(migrations), minimum)
	}
	return next, nil
}
