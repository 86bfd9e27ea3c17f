package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymechute/internal/decide/lease"
)

// maxInFlight bounds the proposals in flight; more are lost.
const maxInFlight = 1 << 14

// LeaseSim is a fleet of electors (internal/decide/lease) over one emulated log. Proposals can be lost and reordered,
// members apply the log late, and their clocks drift. Its methods are the events that can happen; Check tells whether the
// invariants hold after each. It uses no real time, and no random numbers but those it is given.
type LeaseSim struct {
	Config  lease.Config
	Members []*LeaseMember
	Figures LeaseFigures

	now          time.Duration // true time
	log          []lease.Command
	inFlight     []lease.Command
	duties       []string
	truth        *lease.Table             // the log applied at once, decisions left out
	lowestValid  []map[string]uint64      // by index and duty: the lowest token that is not stale
	vacantSince  map[string]time.Duration // by duty without a holder
	takeovers    []time.Duration
	incarnations uint64
	onStart      func(*lease.Table, *lease.Fence) // of each process; nil for none
}

// LeaseFigures counts what happened in a run.
type LeaseFigures struct {
	ConcurrentHolders int // times at which two members held the same lease
	StaleProposed     int // commands proposed by a member that was no longer the holder
	StaleAccepted     int // of these, accepted by a member's table
	StaleAdmitted     int // of these, admitted by a member's fence
	Decisions         int // accepted
	DivergedTables    int // members whose table differs at the same index
	TakeoverP99       time.Duration
}

// NewLeaseSim returns a fleet of size members with an empty log. Their clocks run at rates within the config's drift.
func NewLeaseSim(size int, config lease.Config, r *rand.Rand, duties ...string) (*LeaseSim, error) {
	s := &LeaseSim{Config: config}
	if err := s.start(size, r, duties); err != nil {
		return nil, err
	}
	return s, nil
}

// start starts size members, with clocks at rates within the config's drift.
func (s *LeaseSim) start(size int, r *rand.Rand, duties []string) error {
	truth, err := lease.NewTable(duties...)
	if err != nil {
		return err
	}
	s.duties = truth.Duties()
	s.truth = truth
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

// RestartAll restarts all members with another config; their clocks' rates stay as they are.
func (s *LeaseSim) RestartAll(config lease.Config) {
	s.Config = config
	for _, m := range s.Members {
		s.Restart(m)
	}
}

// Advance moves the true time on and ticks all members that are not paused.
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

// Now returns the true time since the start.
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
	if c.Kind != lease.Decide { // who is the holder depends on acquisitions, renewals and releases alone
		s.truth.Apply(uint64(len(s.log)), c)
	}
	lowest := map[string]uint64{}
	for _, duty := range s.duties {
		state, _ := s.truth.Lookup(duty)
		lowest[duty] = state.Token
		if state.Holder == "" { // the last holder's token is stale too
			lowest[duty]++
		}
	}
	s.lowestValid = append(s.lowestValid, lowest)
}

// CommitAll appends all proposals in flight to the log, in their order.
func (s *LeaseSim) CommitAll() {
	for s.InFlight() > 0 {
		s.Commit(0)
	}
}

// Deliver applies up to count entries at a member.
func (s *LeaseSim) Deliver(m *LeaseMember, count int) {
	for ; count > 0 && m.applied < len(s.log) && !m.Paused && !m.InboundCut; count-- {
		c, index := s.log[m.applied], uint64(m.applied+1)
		m.applied++
		outcome := m.Elector.Apply(m.clock(), index, c)
		m.checkCaughtUp()
		if c.Kind == lease.Decide && outcome.Accepted {
			s.admit(m, index, c)
		}
	}
}

// admit lets a member act on an accepted decision, and counts what is stale.
func (s *LeaseSim) admit(m *LeaseMember, index uint64, c lease.Command) {
	isStale := c.Token < s.lowestValid[index-1][c.Duty]
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

// Check counts violations of the invariants: two holders of one lease at the same time, and stale commands accepted. It
// returns the first that it finds.
func (s *LeaseSim) Check() error {
	for _, duty := range s.duties {
		var holder *LeaseMember
		for _, m := range s.Members {
			if !m.isHolder(duty) {
				continue
			}
			if holder != nil {
				s.Figures.ConcurrentHolders++
				return fmt.Errorf("duty %q: held by %s and %s at %v", duty, holder.Name, m.Name, s.now)
			}
			holder = m
		}
	}
	if s.Figures.StaleAccepted > 0 || s.Figures.StaleAdmitted > 0 {
		return fmt.Errorf("%d stale commands accepted, %d admitted by a fence", s.Figures.StaleAccepted, s.Figures.StaleAdmitted)
	}
	return nil
}

// HolderOf returns the member that holds a duty's lease, nil for none.
func (s *LeaseSim) HolderOf(duty string) *LeaseMember {
	for _, m := range s.Members {
		if m.isHolder(duty) {
			return m
		}
	}
	return nil
}

// settle delivers the complete log to all members and counts tables that differ.
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
