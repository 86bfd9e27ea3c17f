// This file owns the ring: plans timed, the words of a move and of the leases as internal/fleet/slots encodes them, and
// moves over the least after each loss of backends.

package decisions

import (
	"fmt"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
	"thymechute/internal/fleet/slots"
)

const (
	ringSlack = 0.05
	ackLeases = 4
	ackStep   = 20 * time.Millisecond
	fewSlots  = 64 // of the members that only acknowledge
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
		if !loss.takes(n) {
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
	for _, kind := range []string{"machine", "region"} {
		r := chance(c.seed, 0x41a6)
		c.timing("ring_plan_"+kind+"_lost", "owner_of_ring", l.Size, func(int) {
			_, _, _, err = table.Plan(without(backends, l.backendLosses().drawn(kind, r)), ring.BalanceBound{Slack: ringSlack}, nil)
		})
	}
	if err != nil {
		return err
	}
	agreed := ring.ReplicatedState{Active: table}
	encoded, err := agreed.Encode()
	if err != nil {
		return err
	}
	c.point("ring_snapshot_bytes", "member", 0, l.Size, float64(len(encoded)))
	c.point("ring_table_heap_bytes", "member", 0, l.Size, heapOf(func() any { made, _ := l.table(); return made }))
	freeze, open, err := moveWords(l)
	if err != nil {
		return err
	}
	c.point("ring_freeze_entry_bytes", "log_leader", 0, l.Size, float64(freeze))
	c.point("ring_open_entry_bytes", "log_leader", 0, l.Size, float64(open))
	return acknowledge(c, l)
}

// words is the log as one Keeper sees it: what it says is kept.
type words struct {
	process string
	now     time.Duration
	seq     uint64
	said    []lease.Command
}

func (w *words) say(c lease.Command) uint64 {
	w.seq++
	c.Member, c.Incarnation, c.Seq, c.Duty = w.process, 0x18f3a2b4c5000000, w.seq, slots.Duty
	w.said = append(w.said, c)
	return w.seq
}

// DecideNow implements slots.Log.
func (w *words) DecideNow(_, body string) bool {
	w.say(lease.Command{Kind: lease.Decide, Token: 7, Body: body})
	return true
}

// Announce implements slots.Log.
func (w *words) Announce(_, body string) uint64 {
	return w.say(lease.Command{Kind: lease.Announce, Body: body})
}

// Now implements slots.Log.
func (w *words) Now() time.Duration { return w.now }

func keeper(process string, count int) (*slots.Keeper, *words, error) {
	w := &words{process: process}
	k, err := slots.New(slots.Config{Process: process, Life: 0x18f3a2b4c5000000, Slots: count, Terms: ringTerms,
		Band: ring.BalanceBound{Slack: ringSlack}, Say: func(string) {}}, w)
	return k, w, err
}

var accepted = lease.Outcome{Accepted: true}

// move lets an owner freeze and open a table over these backends, and gives both entries.
func move(k *slots.Keeper, w *words, backends []ring.Backend) (entries []lease.Command, err error) {
	k.Want(backends)
	k.Held(0)
	for len(entries) < 2 && w.now < 10*ringTerms.Duration {
		k.Tick(w.now)
		for _, c := range w.said {
			if c.Kind == lease.Decide {
				entries = append(entries, c)
			}
			k.Entry(w.now, c, accepted)
		}
		w.said = nil
		w.now += ackStep
	}
	if len(entries) < 2 {
		return nil, fmt.Errorf("ring: found %d entries of a move, expected a freeze and an opening", len(entries))
	}
	return entries[:2], nil
}

func moveWords(l Layout) (freeze, open int, err error) {
	k, w, err := keeper(processName(0, 0), l.slots())
	if err != nil {
		return 0, 0, err
	}
	entries, err := move(k, w, l.backends())
	if err != nil {
		return 0, 0, err
	}
	return entryBytes(entries[0]), entryBytes(entries[1]), nil
}

// acknowledge counts what all members put into the log to hold their leases of a table that does not change.
func acknowledge(c *collector, l Layout) error {
	backends := Layout{Size: 12, Zones: 3, Regions: 1}.backends()
	first, w, err := keeper(processName(0, 0), fewSlots)
	if err != nil {
		return err
	}
	entries, err := move(first, w, backends)
	if err != nil {
		return err
	}
	count, bytes := 0, 0
	for n := range l.Size {
		k, said, err := keeper(processName(n, 0), fewSlots)
		if err != nil {
			return err
		}
		for _, e := range entries {
			k.Entry(0, e, accepted)
		}
		for said.now < ackLeases*ringTerms.Duration {
			k.Tick(said.now)
			for _, e := range said.said {
				count++
				bytes += entryBytes(e)
				k.Entry(said.now, e, accepted)
			}
			said.said = nil
			said.now += ackStep
		}
	}
	spent := (ackLeases * ringTerms.Duration).Seconds()
	c.point("ring_acknowledgements_s", "log_leader", 0, l.Size, float64(count)/spent)
	c.point("ring_acknowledgement_bytes_s_member", "member", boundBytes, l.Size, float64(bytes)/spent)
	return nil
}

// measureRingLosses takes backends away at once and back: moves over the least, and the slowest plan.
func measureRingLosses(c *collector, l Layout) error {
	table, err := l.table()
	if err != nil {
		return err
	}
	r := chance(c.seed, 0x41a7)
	backends := l.backends()
	for _, kind := range lossKinds {
		name := "ring_" + l.label() + "_" + kind
		rest := without(backends, l.backendLosses().drawn(kind, r))
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

func (c *collector) plan(name string, table *ring.Table, backends []ring.Backend) (*ring.Table, error) {
	var next *ring.Table
	var moves []ring.Migration
	var least int
	var err error
	t := timed(max(c.samples/3, 1), func(int) { next, moves, least, err = table.Plan(backends, ring.BalanceBound{Slack: ringSlack}, nil) })
	if err != nil {
		return nil, err
	}
	c.result.Put(name+"_moved", float64(len(moves)))
	c.result.Put(name+"_moved_over_least", float64(len(moves))/float64(max(least, 1)))
	c.result.Put(name+"_plan_ms_p50", milliseconds(t.p50))
	c.result.Put(name+"_plan_ms_worst", milliseconds(t.worst))
	if len(moves) > least {
		c.result.Fault("%s: %d slots moved, the least is %d", name, len(moves), least)
	}
	return next, nil
}
