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
	ringSlack            = 0.05
	acknowledgedLeases   = 4 // measured period, in lease durations
	tickInterval         = 20 * time.Millisecond
	acknowledgementSlots = 64 // in the table whose acknowledgements are measured
	leaderToken          = 7
)

// ringTerms are those of a lease of 2 s, like the leases of the log.
var ringTerms = ring.LeaseTerms{Duration: 2 * time.Second, MaxDrift: 0.01, CancelDelay: 20 * time.Millisecond}

// activeTable returns a ring table planned over all backends.
func (l Layout) activeTable() (*ring.Table, error) {
	empty, err := ring.New(l.slots())
	if err != nil {
		return nil, err
	}
	table, _, _, err := empty.Plan(l.backends(), ring.BalanceBound{Slack: ringSlack}, nil)
	return table, err
}

// remainingBackends returns the backends that are not lost.
func remainingBackends(backends []ring.Backend, loss Loss) (rest []ring.Backend) {
	for n, b := range backends {
		if !loss.contains(n) {
			rest = append(rest, b)
		}
	}
	return rest
}

// backendLayout returns the layout of the backends, in which losses are chosen as among the members.
func (l Layout) backendLayout() Layout {
	return Layout{Size: len(l.backends()), Zones: l.Zones, Regions: l.Regions}
}

func measureRing(c *collector, l Layout) error {
	table, err := l.activeTable()
	if err != nil {
		return err
	}
	backends := l.backends()
	for _, kind := range []LossKind{lossOfMachine, lossOfRegion} {
		r := newRandom(c.seed, 0x41a6)
		c.addTiming("ring_plan_"+string(kind)+"_lost", "owner_of_ring", l.Size, func(int) {
			_, _, _, err = table.Plan(remainingBackends(backends, l.backendLayout().randomLoss(kind, r)), ring.BalanceBound{Slack: ringSlack}, nil)
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
	c.addPoint("ring_table_heap_bytes", "member", 0, l.Size, meanHeapBytes(func() any { table, _ := l.activeTable(); return table }))
	freeze, activation, err := migrationEntryBytes(l)
	if err != nil {
		return err
	}
	c.addPoint("ring_freeze_entry_bytes", "log_leader", 0, l.Size, float64(freeze))
	c.addPoint("ring_open_entry_bytes", "log_leader", 0, l.Size, float64(activation))
	return measureAcknowledgements(c, l)
}

// recordingLog is the slots.Log of one Controller. It records proposals; step applies them.
type recordingLog struct {
	process  string
	now      time.Duration
	seq      uint64
	proposed []lease.Command
}

func (l *recordingLog) propose(c lease.Command) uint64 {
	l.seq++
	c.Member, c.Incarnation, c.Seq, c.Duty = l.process, sampleIncarnation, l.seq, slots.Duty
	l.proposed = append(l.proposed, c)
	return l.seq
}

// DecideNow implements slots.Log.
func (l *recordingLog) DecideNow(_, body string) bool {
	l.propose(lease.Command{Kind: lease.Decide, Token: leaderToken, Body: body})
	return true
}

// Announce implements slots.Log.
func (l *recordingLog) Announce(_, body string) uint64 {
	return l.propose(lease.Command{Kind: lease.Announce, Body: body})
}

// Now implements slots.Log.
func (l *recordingLog) Now() time.Duration { return l.now }

// step ticks the controller and applies its proposals.
func (l *recordingLog) step(c *slots.Controller) (applied []lease.Command) {
	c.Tick(l.now)
	applied, l.proposed = l.proposed, nil
	for _, entry := range applied {
		c.Apply(l.now, entry, accepted)
	}
	l.now += tickInterval
	return applied
}

func newController(process string, slotCount int) (*slots.Controller, *recordingLog, error) {
	l := &recordingLog{process: process}
	c, err := slots.New(slots.Config{Process: process, Incarnation: sampleIncarnation, Slots: slotCount, Terms: ringTerms,
		Bound: ring.BalanceBound{Slack: ringSlack}, Notify: func(string) {}}, l)
	return c, l, err
}

var accepted = lease.Outcome{Accepted: true}

// proposeMigration makes a leader freeze and activate a table over these backends, and returns both entries.
func proposeMigration(c *slots.Controller, l *recordingLog, backends []ring.Backend) (entries []lease.Command, err error) {
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
		return nil, fmt.Errorf("ring migration: found %d entries, expected 2: a freeze and an activation", len(entries))
	}
	return entries[:wanted], nil
}

// migrationEntryBytes returns the sizes of the two log entries of a migration.
func migrationEntryBytes(l Layout) (freeze, activation int, err error) {
	c, log, err := newController(processName(0, 0), l.slots())
	if err != nil {
		return 0, 0, err
	}
	entries, err := proposeMigration(c, log, l.backends())
	if err != nil {
		return 0, 0, err
	}
	return entryBytes(entries[0]), entryBytes(entries[1]), nil
}

// measureAcknowledgements measures the log entries by which all members renew their leases of an unchanged table.
func measureAcknowledgements(c *collector, l Layout) error {
	backends := Layout{Size: 12, Zones: 3, Regions: 1}.backends()
	leader, log, err := newController(processName(0, 0), acknowledgementSlots)
	if err != nil {
		return err
	}
	table, err := proposeMigration(leader, log, backends)
	if err != nil {
		return err
	}
	count, bytes := 0, 0
	for n := range l.Size {
		entries, err := memberAcknowledgements(processName(n, 0), table)
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

// memberAcknowledgements returns what one member proposes during acknowledgedLeases lease durations after a table became active.
func memberAcknowledgements(process string, table []lease.Command) (entries []lease.Command, err error) {
	c, log, err := newController(process, acknowledgementSlots)
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

// measureRingLosses removes the backends of each kind of loss at once and adds them again. It measures the migrated slots, also
// relative to the minimum, and the time of the plans.
func measureRingLosses(c *collector, l Layout) error {
	table, err := l.activeTable()
	if err != nil {
		return err
	}
	r := newRandom(c.seed, 0x41a7)
	backends := l.backends()
	for _, kind := range lossKinds {
		name := "ring_" + l.label() + "_" + string(kind)
		rest := remainingBackends(backends, l.backendLayout().randomLoss(kind, r))
		reduced, err := c.measurePlan(name+"_lost", table, rest)
		if err != nil {
			return err
		}
		if _, err := c.measurePlan(name+"_back", reduced, backends); err != nil {
			return err
		}
	}
	return nil
}

// measurePlan measures one plan and adds its figures. It returns the planned table.
func (c *collector) measurePlan(name string, table *ring.Table, backends []ring.Backend) (*ring.Table, error) {
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
	c.result.SetFigure(name+"_plan_ms_worst", scale.Milliseconds(t.max))
	if len(migrations) > minimum {
		c.result.AddFault("%s: found %d migrated slots, expected the minimum %d", name, len(migrations), minimum)
	}
	return next, nil
}
