package decisions

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/lab/emulator"
)

const (
	leaseStep = 25 * time.Millisecond

	// Periods as multiples of the lease duration.
	warmUpLeases      = 4
	measuredLeases    = 60 // without faults
	maxTakeoverLeases = 30
	afterHealLeases   = 2

	maxEntriesPerDelivery = 256
	leaseSeed             = 0x07e4
	sampleIncarnation     = 0x18f3a2b4c5000000 // encodes to the length of a real one
)

// The leases and duties of cmd/thymechute with its default settings.
var (
	leaseConfig = lease.Config{Duration: 2 * time.Second, MaxDrift: 0.01, SafetyMargin: 40 * time.Millisecond}
	duties      = []string{"ring", "roll"}
)

// entryBytes returns the size of an entry's body as internal/fleet/consensus encodes it.
func entryBytes(c lease.Command) int {
	b, _ := json.Marshal(c)
	return len(b)
}

// newLeaseFleet returns an emulated fleet for runLeases.
func newLeaseFleet(c *collector, size int) (*emulator.LeaseSim, error) {
	return emulator.NewLeaseSim(size, leaseConfig, newRandom(c.seed, leaseSeed), duties...)
}

// runLeases advances a fleet to the given time. Its log commits every proposal immediately and in order.
func runLeases(s *emulator.LeaseSim, until time.Duration) {
	for s.Now() < until {
		s.Advance(leaseStep)
		s.CommitAll()
		for _, m := range s.Members {
			s.Deliver(m, maxEntriesPerDelivery)
		}
	}
}

// measureLeases measures the log entries that renew the leases in a fleet without faults.
func measureLeases(c *collector, l Layout) error {
	s, err := newLeaseFleet(c, l.Size)
	if err != nil {
		return err
	}
	runLeases(s, warmUpLeases*leaseConfig.Duration)
	before := len(s.Entries())
	runLeases(s, (warmUpLeases+measuredLeases)*leaseConfig.Duration)
	entries := s.Entries()[before:]
	total := 0
	for _, e := range entries {
		e.Member = processName(l.Size-1, 0)
		e.Incarnation = sampleIncarnation
		total += entryBytes(e)
	}
	measured := (measuredLeases * leaseConfig.Duration).Seconds()
	c.addPoint("owner_entries_day", "log_leader", 0, l.Size, float64(len(entries))/measured*86400)
	c.addPoint("owner_entry_bytes", "log_leader", 0, l.Size, float64(total)/float64(max(len(entries), 1)))
	if err := s.Check(); err != nil {
		c.result.AddFault("leases at %d members: %v", l.Size, err)
	}
	return measureElector(c, l)
}

// measureElector measures the time that one member takes to apply an entry and tick, and the size of the table's snapshot.
func measureElector(c *collector, l Layout) error {
	table, err := lease.NewTable(duties...)
	if err != nil {
		return err
	}
	elector := lease.NewElector(discardHost{}, table, leaseConfig, processName(0, 0), 1)
	c.addTiming("owner_entry", "member", l.Size, func(n int) {
		now := time.Duration(n) * time.Millisecond
		state, _ := table.Lookup(duties[0])
		elector.Apply(now, table.Index()+1, lease.Command{Kind: lease.Acquire, Duty: duties[0], Member: processName(n, 0),
			Incarnation: 1, ObservedIndex: state.RenewedIndex})
		elector.Tick(now)
	})
	encoded, err := table.Encode()
	c.addPoint("owner_snapshot_bytes", "member", 0, l.Size, float64(len(encoded)))
	return err
}

// discardHost is a lease.Host that discards all proposals.
type discardHost struct{}

// Propose implements lease.Host.
func (discardHost) Propose(lease.Command) {}

// LeaseAcquired implements lease.Host.
func (discardHost) LeaseAcquired(string, uint64) {}

// LeaseLost implements lease.Host.
func (discardHost) LeaseLost(string) {}

// measureLeaseLosses measures the takeover of the duties after each kind of loss that includes the lease holder.
func measureLeaseLosses(c *collector, l Layout) error {
	for _, kind := range lossKinds {
		s, err := newLeaseFleet(c, l.Size)
		if err != nil {
			return err
		}
		runLeases(s, warmUpLeases*leaseConfig.Duration)
		holder := s.HolderOf(duties[0])
		if holder == nil {
			return fmt.Errorf("leases: found no holder of duty %s after the warm-up with %d members", duties[0], l.Size)
		}
		c.measureTakeover("owner_"+l.label()+"_"+string(kind), s, l.lossAround(kind, slices.Index(s.Members, holder)))
	}
	return nil
}

// measureTakeover partitions the lost members until the others hold all leases, then heals the partition. It measures the time and
// the number of lease acquisitions until then, and the number of acquisitions after the heal.
func (c *collector) measureTakeover(name string, s *emulator.LeaseSim, loss Loss) {
	lost := s.Members[loss.From:loss.To]
	for _, m := range lost {
		m.InboundCut, m.OutboundCut = true, true
	}
	start, entries := s.Now(), len(s.Entries())
	for s.Now() < start+maxTakeoverLeases*leaseConfig.Duration && !isTakenOver(s, loss) {
		runLeases(s, s.Now()+leaseStep)
	}
	took := s.Now() - start
	if !isTakenOver(s, loss) {
		c.result.AddFault("%s: duties not taken over within %v", name, took)
	}
	c.result.SetFigure(name+"_takeover_s", took.Seconds())
	c.result.SetFigure(name+"_claims", float64(countAcquisitions(s.Entries()[entries:])))
	for _, m := range lost {
		m.InboundCut, m.OutboundCut = false, false
	}
	healed := len(s.Entries())
	runLeases(s, s.Now()+afterHealLeases*leaseConfig.Duration)
	c.result.SetFigure(name+"_heal_claims", float64(countAcquisitions(s.Entries()[healed:])))
	if err := s.Check(); err != nil {
		c.result.AddFault("%s: %v", name, err)
	}
}

// isTakenOver reports whether members that are not lost hold all leases.
func isTakenOver(s *emulator.LeaseSim, loss Loss) bool {
	leases := 0
	for n, m := range s.Members {
		if !loss.contains(n) {
			leases += m.Elector.LeaseCount()
		}
	}
	return leases == len(duties)
}

func countAcquisitions(entries []lease.Command) (count int) {
	for _, e := range entries {
		if e.Kind == lease.Acquire {
			count++
		}
	}
	return count
}
