package ring

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// disabledGuards selects the safeguards that a simulation disables, to prove that the check detects their absence.
type disabledGuards struct {
	quotas        bool // calls need no quota
	quotaExpiry   bool // quotas outlive the lease
	grantInterval bool // grants are proposed too early
	grantSplit    bool // each member takes the whole grant
}

// logEntry is an entry of the simulated log: a grant, or an acknowledgement if grant is nil.
type logEntry struct {
	grant   *Grant
	process string        // sender of the acknowledgement
	sent    time.Duration // by the sender's clock
}

type budgetMember struct {
	process                        string
	clockRate                      float64 // of the member's clock, relative to true time
	state                          ReplicatedState
	gate                           *CallGate
	applied                        int // number of log entries applied
	nextAck                        time.Duration
	isInboundPartitioned, isPaused bool
	joinsAt                        time.Duration
}

// budgetSimulation simulates a fleet whose members call a backend in slow start as often as they may. Members are
// partitioned, suspended, join late and apply the log late; leaders change; entries are lost and reordered.
type budgetSimulation struct {
	random                *rand.Rand
	disabled              disabledGuards
	now                   time.Duration // true time
	members               []*budgetMember
	backends              []Backend
	slot                  int // a slot of the backend in slow start
	log, inFlight         []logEntry
	leader                *budgetMember
	controller            *WarmUpController
	lastAcknowledged      map[string]time.Duration // by process, as the leader has applied it
	faultCycle            time.Duration
	isPartitioned, isIdle bool

	recentCalls      []time.Duration // sent within the last window
	sent, maxAllowed int
}

func newBudgetSimulation(seed uint64, members int, disabled disabledGuards) *budgetSimulation {
	s := &budgetSimulation{random: rand.New(rand.NewPCG(seed, 0x40c1)), disabled: disabled, lastAcknowledged: map[string]time.Duration{}}
	empty, _ := New(64)
	s.backends = append(testBackends(4), Backend{Name: "new", Zone: "z", Weight: 1, WarmingUp: true})
	first := slices.Clone(s.backends)
	first[4].Weight = slowStart.InitialFraction
	table, _, _, _ := empty.Plan(first, BalanceBound{}, nil)
	s.slot = slices.IndexFunc(table.slots, func(b int16) bool { return table.backends[b].Name == "new" })
	if disabled.quotas {
		table.backends[table.slots[s.slot]].WarmingUp = false
	}
	for n := range members {
		m := &budgetMember{
			process:   fmt.Sprintf("m%02d", n),
			clockRate: 1 + leaseTerms.MaxDrift*(2*s.random.Float64()-1),
			state:     ReplicatedState{Active: table},
			gate:      NewCallGate(table),
		}
		if n%8 == 7 {
			m.joinsAt = 4 * time.Second
		}
		s.members = append(s.members, m)
	}
	s.leader, s.controller = s.members[0], NewWarmUpController(0, slowStart, callBudget, leaseTerms)
	s.faultCycle = time.Duration(2+s.random.IntN(8)) * time.Second
	return s
}

func (s *budgetSimulation) clock(m *budgetMember) time.Duration {
	return time.Duration(float64(s.now) * m.clockRate)
}

// injectFaults starts and ends faults at random.
func (s *budgetSimulation) injectFaults() {
	if s.random.IntN(300) == 0 {
		s.isIdle = !s.isIdle && s.random.IntN(3) == 0 // no member calls for a while, and then all do
	}
	// Most members receive no entries for a while, and then all of them within one tick.
	if s.isPartitioned != (s.now%s.faultCycle > s.faultCycle/4) {
		s.isPartitioned = !s.isPartitioned
		for _, m := range s.members[len(s.members)/8:] {
			m.isInboundPartitioned = s.isPartitioned
		}
	}
	switch m, draw := s.members[s.random.IntN(len(s.members))], s.random.IntN(1000); {
	case draw < 20:
		m.isInboundPartitioned = s.random.IntN(4) == 0
	case draw < 40:
		m.isPaused = s.random.IntN(4) == 0
	case draw < 43 && !m.isPaused && !m.isInboundPartitioned && s.now >= m.joinsAt && m.applied == len(s.log):
		s.leader = m
		s.controller = NewWarmUpController(s.clock(m), slowStart, callBudget, leaseTerms)
	}
}

// deliver appends proposed entries to the log in random order. Some are delayed or lost.
func (s *budgetSimulation) deliver() {
	for len(s.inFlight) > 0 && s.random.IntN(12) > 0 {
		n := s.random.IntN(len(s.inFlight))
		if s.random.IntN(30) > 0 {
			s.log = append(s.log, s.inFlight[n])
		}
		s.inFlight = slices.Delete(s.inFlight, n, n+1)
	}
}

func (s *budgetSimulation) apply(m *budgetMember, e logEntry) {
	if e.grant == nil {
		m.state.RecordAcknowledgement(e.process)
		if e.process == m.process {
			m.gate.ExtendLease(e.sent, leaseTerms)
		}
		if m == s.leader {
			s.lastAcknowledged[e.process] = s.now
		}
		return
	}
	if !m.state.ApplyGrant(*e.grant) {
		return
	}
	if m == s.leader {
		if s.controller.GrantApplied(s.clock(m)); s.disabled.grantInterval {
			s.controller.nextGrant -= callBudget.GrantInterval * 3 / 4
		}
	}
	quotas := e.grant.QuotasFor(m.state.Participants, m.process)
	if s.disabled.grantSplit && quotas != nil {
		quotas["new"] = e.grant.Quotas[0].Calls
	}
	if m.gate.SetQuotas(quotas); s.disabled.quotaExpiry && quotas != nil {
		m.gate.quotas["new"].expiry = time.Hour
	}
}

// runMember applies entries, sends an acknowledgement when it is due, and makes up to three calls if they are allowed.
func (s *budgetSimulation) runMember(m *budgetMember) {
	for !m.isInboundPartitioned && m.applied < len(s.log) && s.random.IntN(10) > 0 {
		s.apply(m, s.log[m.applied])
		m.applied++
	}
	if s.clock(m) >= m.nextAck {
		s.inFlight = append(s.inFlight, logEntry{process: m.process, sent: s.clock(m)})
		m.nextAck = s.clock(m) + leaseTerms.Duration/5
	}
	for n := 0; n < 3 && !s.isIdle; n++ {
		if _, _, decision := m.gate.Admit(s.clock(m), s.slot, NotIdempotent); decision == Allow {
			s.recentCalls = append(s.recentCalls, s.now)
			s.sent++
		}
	}
}

func (s *budgetSimulation) runLeader() {
	s.controller.WeightedBackends(s.clock(s.leader), s.backends, s.leader.state.Active)
	if progress := s.controller.progress["new"]; progress != nil {
		s.maxAllowed = max(s.maxAllowed, callBudget.CallsAt(progress.fraction))
	}
	isAlive := func(process string) bool { return s.now-s.lastAcknowledged[process] < 2*leaseTerms.Duration }
	if grant, isDue := s.controller.NextGrant(s.clock(s.leader), &s.leader.state, isAlive); isDue {
		s.inFlight = append(s.inFlight, logEntry{grant: &grant})
	}
}

// simulateBudget runs a simulation for 15 s. It returns the number of calls sent, and by how many calls the fleet exceeded
// the budget of a window at worst.
func simulateBudget(seed uint64, members int, disabled disabledGuards) (sent, over int) {
	s := newBudgetSimulation(seed, members, disabled)
	for s.now < 15*time.Second {
		s.now += 5 * time.Millisecond
		s.injectFaults()
		s.deliver()
		for _, m := range s.members {
			if !m.isPaused && s.now >= m.joinsAt {
				s.runMember(m)
			}
		}
		if !s.leader.isPaused && !s.leader.isInboundPartitioned {
			s.runLeader()
		}
		for len(s.recentCalls) > 0 && s.recentCalls[0] <= s.now-callBudget.Window {
			s.recentCalls = s.recentCalls[1:]
		}
		over = max(over, len(s.recentCalls)-s.maxAllowed)
	}
	return s.sent, over
}
