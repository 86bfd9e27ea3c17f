package emulator

import (
	"time"

	"thymechute/internal/decide/lease"
)

// LeaseMember is one process of a LeaseSim. It implements lease.Host.
type LeaseMember struct {
	Name    string
	Elector *lease.Elector

	Paused      bool // neither ticks, decides nor applies entries
	InboundCut  bool // receives no entries
	OutboundCut bool // its proposals are lost

	number         int
	sim            *LeaseSim
	table          *lease.Table
	fence          lease.Fence
	clockRate      float64
	startedAt      time.Duration // simulated time
	incarnation    uint64
	appliedEntries int
	appliedTarget  int               // length of the log when the process started
	tokens         map[string]uint64 // last fencing token by duty, for ProposeStale
}

// Restart ends a member's process and starts a new one without state.
func (s *LeaseSim) Restart(m *LeaseMember) {
	if m.Elector != nil {
		for _, duty := range s.duties {
			if m.isHolder(duty) {
				m.LeaseLost(duty)
			}
		}
	}
	s.incarnations++
	m.table, _ = lease.NewTable(s.duties...)
	m.fence = lease.Fence{}
	if s.onStart != nil {
		s.onStart(m.table, &m.fence)
	}
	m.tokens = map[string]uint64{}
	m.startedAt, m.incarnation = s.now, s.incarnations
	m.appliedEntries, m.appliedTarget = 0, len(s.log)
	m.Paused, m.InboundCut, m.OutboundCut = false, false, false
	m.Elector = lease.NewElector(m, m.table, s.Config, m.Name, m.incarnation)
	for n, duty := range s.duties { // as in the program, the duties have different first claimants
		size := len(s.Members)
		m.Elector.SetClaimPosition(duty, (m.number+n*max(size/len(s.duties), 1))%size)
	}
	m.checkCaughtUp()
}

// clock returns the time since the process started, by the member's own clock.
func (m *LeaseMember) clock() time.Duration {
	return time.Duration(float64(m.sim.now-m.startedAt) * m.clockRate)
}

func (m *LeaseMember) isHolder(duty string) bool {
	_, isHolder := m.Elector.Token(m.clock(), duty)
	return isHolder
}

func (m *LeaseMember) checkCaughtUp() {
	if m.appliedEntries >= m.appliedTarget {
		m.Elector.SetCaughtUp(m.clock())
	}
}

// Propose implements lease.Host.
func (m *LeaseMember) Propose(c lease.Command) {
	if !m.OutboundCut && len(m.sim.inFlight) < maxInFlight {
		m.sim.inFlight = append(m.sim.inFlight, c)
	}
}

// LeaseAcquired implements lease.Host. It records how long the duty had no holder.
func (m *LeaseMember) LeaseAcquired(duty string, token uint64) {
	m.tokens[duty] = token
	if since, isVacant := m.sim.vacantSince[duty]; isVacant {
		m.sim.takeovers = append(m.sim.takeovers, m.sim.now-since)
		delete(m.sim.vacantSince, duty)
	}
}

// LeaseLost implements lease.Host. It records the time from which the duty has no holder.
func (m *LeaseMember) LeaseLost(duty string) { m.sim.vacantSince[duty] = m.sim.now }

// Decide has a member propose a decision for each duty whose lease it holds.
func (s *LeaseSim) Decide(m *LeaseMember) {
	if m.Paused {
		return
	}
	for _, duty := range s.duties {
		m.Elector.Decide(m.clock(), duty, "plan")
	}
}

// ProposeStale has a member propose decisions with those of its tokens that are outdated by now, as if it had been paused
// between the check of its lease and the proposal.
func (s *LeaseSim) ProposeStale(m *LeaseMember) {
	for duty, token := range m.tokens {
		if state, _ := s.referenceTable.Lookup(duty); state.Token > token {
			s.Figures.StaleProposed++
			m.Propose(lease.Command{Kind: lease.Decide, Duty: duty, Member: m.Name, Incarnation: m.incarnation, Token: token, Body: "late"})
		}
	}
}

// Drain starts the graceful shutdown of a member, which releases its leases. It has no effect on a paused member.
func (s *LeaseSim) Drain(m *LeaseMember) {
	if !m.Paused {
		m.Elector.Drain(m.clock())
	}
}

// Resign has a member release one lease, for another member to acquire.
func (s *LeaseSim) Resign(m *LeaseMember, duty string) { m.Elector.Resign(m.clock(), duty) }
