// This file owns the duties: entries that keep them held, bytes as the log encodes them, and takeovers after each loss.

package decisions

import (
	"encoding/json"
	"fmt"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/lab/emulator"
)

const (
	ownerStep    = 25 * time.Millisecond
	calmLeases   = 60
	mostTakeover = 30 // leases
	hearAtOnce   = 256
)

// As cmd/thymechute has them by default: a lease of 2 s and its duties.
var (
	ownerLease = lease.Config{Duration: 2 * time.Second, MaxDrift: 0.01, SafetyMargin: 40 * time.Millisecond}
	duties     = []string{"ring", "roll"}
)

// entryBytes is the bytes of an entry's body as internal/fleet/consensus encodes it.
func entryBytes(c lease.Command) int {
	b, _ := json.Marshal(c)
	return len(b)
}

// ownerFleet is an emulated fleet whose log takes every proposal at once and in order.
func ownerFleet(c *collector, size int) (*emulator.LeaseSim, error) {
	return emulator.NewLeaseSim(size, ownerLease, chance(c.seed, 0x07e4), duties...)
}

func play(s *emulator.LeaseSim, until time.Duration) {
	for s.Now() < until {
		s.Advance(ownerStep)
		for s.InFlight() > 0 {
			s.Commit(0)
		}
		for _, m := range s.Members {
			s.Deliver(m, hearAtOnce)
		}
	}
}

func measureLeases(c *collector, l Layout) error {
	s, err := ownerFleet(c, l.Size)
	if err != nil {
		return err
	}
	const warm = 4
	play(s, warm*ownerLease.Duration)
	before := len(s.Entries())
	play(s, (warm+calmLeases)*ownerLease.Duration)
	calm := s.Entries()[before:]
	total := 0
	for _, e := range calm {
		e.Member = processName(l.Size-1, 0)
		e.Incarnation = 0x18f3a2b4c5000000
		total += entryBytes(e)
	}
	spent := (calmLeases * ownerLease.Duration).Seconds()
	c.point("owner_entries_day", "log_leader", 0, l.Size, float64(len(calm))/spent*86400)
	c.point("owner_entry_bytes", "log_leader", 0, l.Size, float64(total)/float64(max(len(calm), 1)))
	if err := s.Check(); err != nil {
		c.result.Fault("owner at %d: %v", l.Size, err)
	}
	return measureOwnerTables(c, l)
}

// measureOwnerTables times an entry's way through the table and a member's tick, and sizes the table.
func measureOwnerTables(c *collector, l Layout) error {
	table, err := lease.NewTable(duties...)
	if err != nil {
		return err
	}
	holder := lease.NewElector(silent{}, table, ownerLease, processName(0, 0), 1)
	c.timing("owner_entry", "member", l.Size, func(n int) {
		seen, _ := table.At(duties[0])
		holder.Apply(time.Duration(n)*time.Millisecond, table.Index()+1, lease.Command{Kind: lease.Acquire, Duty: duties[0],
			Member: processName(n, 0), Incarnation: 1, ObservedIndex: seen.RenewedIndex})
		holder.Tick(time.Duration(n) * time.Millisecond)
	})
	encoded, err := table.Encode()
	c.point("owner_snapshot_bytes", "member", 0, l.Size, float64(len(encoded)))
	return err
}

// silent is a host whose proposals go nowhere.
type silent struct{}

func (silent) Propose(lease.Command)        {}
func (silent) LeaseAcquired(string, uint64) {}
func (silent) LeaseLost(string)             {}

// loseHolder cuts off whoever holds a duty, with all that the loss takes: until another holds it, the claims that this
// cost, and what the heal puts into the log.
func loseHolder(c *collector, l Layout) error {
	for _, kind := range lossKinds {
		s, err := ownerFleet(c, l.Size)
		if err != nil {
			return err
		}
		play(s, 4*ownerLease.Duration)
		holder := s.HolderOf(duties[0])
		if holder == nil {
			return fmt.Errorf("owner: nobody holds %s at %d members", duties[0], l.Size)
		}
		at := 0
		for s.Members[at] != holder {
			at++
		}
		c.takeover("owner_"+l.label()+"_"+kind, s, l.lose(kind, at))
	}
	return nil
}

func (c *collector) takeover(name string, s *emulator.LeaseSim, loss Loss) {
	cut := s.Members[loss.From:loss.To]
	for _, m := range cut {
		m.InboundCut, m.OutboundCut = true, true
	}
	start, entries := s.Now(), len(s.Entries())
	for s.Now() < start+mostTakeover*ownerLease.Duration && !heldOutside(s, loss) {
		play(s, s.Now()+ownerStep)
	}
	took := s.Now() - start
	if !heldOutside(s, loss) {
		c.result.Fault("%s: nobody took the duties over within %v", name, took)
	}
	c.result.Put(name+"_takeover_s", took.Seconds())
	c.result.Put(name+"_claims", float64(claims(s.Entries()[entries:])))
	for _, m := range cut {
		m.InboundCut, m.OutboundCut = false, false
	}
	healed := len(s.Entries())
	play(s, s.Now()+2*ownerLease.Duration)
	c.result.Put(name+"_heal_claims", float64(claims(s.Entries()[healed:])))
	if err := s.Check(); err != nil {
		c.result.Fault("%s: %v", name, err)
	}
}

// heldOutside tells whether every duty is held by one that the loss does not take.
func heldOutside(s *emulator.LeaseSim, loss Loss) bool {
	held := 0
	for n, m := range s.Members {
		if !loss.takes(n) {
			held += m.Elector.LeaseCount()
		}
	}
	return held == len(duties)
}

func claims(entries []lease.Command) (count int) {
	for _, e := range entries {
		if e.Kind == lease.Acquire {
			count++
		}
	}
	return count
}
