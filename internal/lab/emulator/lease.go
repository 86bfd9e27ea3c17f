package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymechute/internal/decide/lease"
)

// maxInFlight is the maximum number of proposals in flight; any further ones are lost.
const maxInFlight = 1 << 14

// LeaseSim simulates a fleet of electors (internal/decide/lease) with one emulated log. Proposals can be lost and reordered,
// members apply the log late, and their clocks drift. Its methods are the possible events; Check verifies the invariants
// after each. It reads no clock, and its only random numbers come from the generator passed to NewLeaseSim.
type LeaseSim struct {
	Config  lease.Config
	Members []*LeaseMember
	Figures LeaseFigures

	now               time.Duration // simulated time, without the drift of the members' clocks
	log               []lease.Command
	inFlight          []lease.Command
	duties            []string
	referenceTable    *lease.Table             // applies each entry when it is committed, except decisions
	lowestValidTokens []map[string]uint64      // the lowest token that is not stale, by log index (from 0) and duty
	vacantSince       map[string]time.Duration // by duty; only duties without a holder
	takeovers         []time.Duration
	incarnations      uint64
	onStart           func(*lease.Table, *lease.Fence) // called for each process that starts; may be nil
}

// LeaseFigures are the measurements of a run.
type LeaseFigures struct {
	ConcurrentHolders int           // calls of Check that found two members that held the same lease
	StaleProposed     int           // commands proposed with the token of an earlier lease
	StaleAccepted     int           // stale commands accepted by a member's table
	StaleAdmitted     int           // stale commands admitted by a member's fence
	Decisions         int           // accepted by the first member's table
	DivergedTables    int           // differences between a member's table and the first member's at the end, one per duty
	TakeoverP99       time.Duration // 99th percentile of how long a duty had no holder
}

// NewLeaseSim returns a fleet of size members with an empty log. The members' clock rates are random within config.MaxDrift.
func NewLeaseSim(size int, config lease.Config, r *rand.Rand, duties ...string) (*LeaseSim, error) {
	s := &LeaseSim{Config: config}
	if err := s.start(size, r, duties); err != nil {
		return nil, err
	}
	return s, nil
}

// start starts size members, with random clock rates within Config.MaxDrift.
func (s *LeaseSim) start(size int, r *rand.Rand, duties []string) error {
	table, err := lease.NewTable(duties...)
	if err != nil {
		return err
	}
	s.duties = table.Duties()
	s.referenceTable = table
	s.vacantSince = map[string]time.Duration{}
	for _, duty := range s.duties {
		s.vacantSince[duty] = 0
	}
	s.Members = make([]*LeaseMember, size)
	for n := range s.Members {
		clockRate := 1 + s.Config.MaxDrift*(2*r.Float64()-1)
		s.Members[n] = &LeaseMember{Name: fmt.Sprintf("m%d", n), number: n, sim: s, clockRate: clockRate}
		s.Restart(s.Members[n])
	}
	return nil
}

// RestartAll restarts all members with another config. Their clock rates stay the same.
func (s *LeaseSim) RestartAll(config lease.Config) {
	s.Config = config
	for _, m := range s.Members {
		s.Restart(m)
	}
}

// Advance advances the simulated time and ticks all members that are not paused.
func (s *LeaseSim) Advance(by time.Duration) {
	s.now += by
	for _, m := range s.Members {
		if !m.Paused {
			m.Elector.Tick(m.clock())
		}
	}
}

// Entries returns the log.
func (s *LeaseSim) Entries() []lease.Command { return s.log }

// Now returns the simulated time since the start.
func (s *LeaseSim) Now() time.Duration { return s.now }

// InFlight returns the number of proposals that are neither committed nor lost.
func (s *LeaseSim) InFlight() int { return len(s.inFlight) }

// Drop loses the n-th proposal in flight.
func (s *LeaseSim) Drop(n int) { s.inFlight = slices.Delete(s.inFlight, n, n+1) }

// Commit appends the n-th proposal in flight to the log.
func (s *LeaseSim) Commit(n int) {
	c := s.inFlight[n]
	s.Drop(n)
	s.log = append(s.log, c)
	if c.Kind != lease.Decide { // the holder depends only on acquisitions, renewals and releases
		s.referenceTable.Apply(uint64(len(s.log)), c)
	}
	lowest := map[string]uint64{}
	for _, duty := range s.duties {
		state, _ := s.referenceTable.Lookup(duty)
		lowest[duty] = state.Token
		if state.Holder == "" { // without a holder, the last holder's token is stale as well
			lowest[duty]++
		}
	}
	s.lowestValidTokens = append(s.lowestValidTokens, lowest)
}

// CommitAll appends all proposals in flight to the log, in their order.
func (s *LeaseSim) CommitAll() {
	for s.InFlight() > 0 {
		s.Commit(0)
	}
}

// Deliver applies up to count further entries at a member, none if it is paused or receives nothing.
func (s *LeaseSim) Deliver(m *LeaseMember, count int) {
	for ; count > 0 && m.appliedEntries < len(s.log) && !m.Paused && !m.InboundCut; count-- {
		c, index := s.log[m.appliedEntries], uint64(m.appliedEntries+1)
		m.appliedEntries++
		outcome := m.Elector.Apply(m.clock(), index, c)
		m.checkCaughtUp()
		if c.Kind == lease.Decide && outcome.Accepted {
			s.admit(m, index, c)
		}
	}
}

// admit asks a member's fence to admit an accepted decision, and counts stale ones.
func (s *LeaseSim) admit(m *LeaseMember, index uint64, c lease.Command) {
	isStale := c.Token < s.lowestValidTokens[index-1][c.Duty]
	if isStale {
		s.Figures.StaleAccepted++
	}
	if m.fence.Admit(c.Duty, c.Token, index) && isStale {
		s.Figures.StaleAdmitted++
	}
	if m == s.Members[0] {
		s.Figures.Decisions++
	}
}

// Check verifies that no two members hold the same lease now, and that no stale command has been accepted or admitted so far.
// It returns the first violation that it finds, and counts two holders in Figures.
func (s *LeaseSim) Check() error {
	for _, duty := range s.duties {
		var holder *LeaseMember
		for _, m := range s.Members {
			if !m.isHolder(duty) {
				continue
			}
			if holder != nil {
				s.Figures.ConcurrentHolders++
				return fmt.Errorf("duty %q: members %s and %s both hold the lease at %v", duty, holder.Name, m.Name, s.now)
			}
			holder = m
		}
	}
	if s.Figures.StaleAccepted > 0 || s.Figures.StaleAdmitted > 0 {
		return fmt.Errorf("found %d stale commands accepted by a table and %d admitted by a fence, expected none",
			s.Figures.StaleAccepted, s.Figures.StaleAdmitted)
	}
	return nil
}

// HolderOf returns the member that holds a duty's lease, or nil.
func (s *LeaseSim) HolderOf(duty string) *LeaseMember {
	for _, m := range s.Members {
		if m.isHolder(duty) {
			return m
		}
	}
	return nil
}

// settle commits all proposals, delivers the complete log to all members, paused and cut off ones included, and computes the
// figures of the end.
func (s *LeaseSim) settle() {
	s.CommitAll()
	for _, m := range s.Members {
		m.Paused, m.InboundCut = false, false
		s.Deliver(m, len(s.log))
		for _, duty := range s.duties {
			own, _ := m.table.Lookup(duty)
			if first, _ := s.Members[0].table.Lookup(duty); own != first {
				s.Figures.DivergedTables++
			}
		}
	}
	slices.Sort(s.takeovers)
	if n := len(s.takeovers); n > 0 {
		s.Figures.TakeoverP99 = s.takeovers[(n*99-1)/100]
	}
}
