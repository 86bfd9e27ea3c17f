package ring

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Terms of a simulation of migrations.
const (
	simulatedMembers = 5
	simulatedSlots   = 16
	simulationTicks  = 6000
	simulationTick   = 10 * time.Millisecond
)

// Kinds of a migrationEntry.
const (
	entryFreeze   = "freeze"
	entryActivate = "activate"
	entryAck      = "ack"
)

// migrationEntry is an entry of the simulated log.
type migrationEntry struct {
	kind    string
	table   *Table
	slots   []int
	process string
	version uint64
	sent    time.Duration // by the sender's clock
}

// inFlightCall is a call at a backend.
type inFlightCall struct {
	slot    int
	backend string
	end     time.Duration // in true time, the cancellation included
}

// migrationMember is a member of the simulated fleet.
type migrationMember struct {
	process                               string
	clockRate                             float64 // to true time
	state                                 ReplicatedState
	gate                                  *CallGate
	applied                               int // entries
	isInboundCut, isOutboundCut, isPaused bool
	inFlight                              []inFlightCall
	ackVersion                            uint64 // acknowledged once no call is in flight on a frozen slot
	nextAck                               time.Duration
}

// finishCalls removes the calls that have ended.
func (m *migrationMember) finishCalls(now time.Duration) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(c inFlightCall) bool { return c.end <= now })
}

// hasCallOnFrozenSlot reports whether a call is in flight on a migrating slot: the freeze can't be acknowledged yet.
func (m *migrationMember) hasCallOnFrozenSlot() bool {
	return slices.ContainsFunc(m.inFlight, func(c inFlightCall) bool { return m.gate.frozen[c.slot] })
}

// migrationFigures are the results of a simulation.
type migrationFigures struct {
	violations    int // moments at which a slot was called at two backends
	activated     int // migrations
	calls         int
	longestFreeze time.Duration
}

// migrationSimulation is a fleet whose leader migrates slots again and again, through members cut off or suspended,
// leaders that change in mid-migration, lost and reordered entries.
type migrationSimulation struct {
	random                   *rand.Rand
	leaderTerms, memberTerms LeaseTerms
	now                      time.Duration // true time
	log, inFlight            []migrationEntry
	members                  []*migrationMember
	leader                   *migrationMember
	migrator                 *Migrator
	frozenAt                 time.Duration
	figures                  migrationFigures
}

// simulateMigrations runs such a fleet for a minute.
func simulateMigrations(seed uint64, leaderTerms, memberTerms LeaseTerms) migrationFigures {
	s := newMigrationSimulation(seed, leaderTerms, memberTerms)
	for range simulationTicks {
		s.now += simulationTick
		s.deliver()
		for _, m := range s.members {
			if !m.isPaused {
				s.runMember(m)
			}
		}
		if !s.leader.isPaused && !s.leader.isInboundCut {
			s.runLeader()
		}
		s.countViolations()
		s.injectFault()
	}
	return s.figures
}

func newMigrationSimulation(seed uint64, leaderTerms, memberTerms LeaseTerms) *migrationSimulation {
	s := &migrationSimulation{random: rand.New(rand.NewPCG(seed, 0x31f6)), leaderTerms: leaderTerms, memberTerms: memberTerms}
	empty, _ := New(simulatedSlots)
	table, _, _, _ := empty.Plan(testBackends(3), BalanceBound{}, nil)
	for n := range simulatedMembers {
		s.members = append(s.members, &migrationMember{
			process:    fmt.Sprint("m", n),
			clockRate:  1 + leaderTerms.MaxDrift*(2*s.random.Float64()-1),
			state:      ReplicatedState{Active: table},
			gate:       NewCallGate(table),
			ackVersion: table.Version,
		})
	}
	s.leader = s.members[0]
	s.migrator = NewMigrator(0, s, leaderTerms, s.processes(), nil, nil)
	return s
}

func (s *migrationSimulation) processes() (processes []string) {
	for _, m := range s.members {
		processes = append(processes, m.process)
	}
	return processes
}

func (s *migrationSimulation) clock(m *migrationMember) time.Duration {
	return time.Duration(float64(s.now) * m.clockRate)
}

// ProposeFreeze implements MigrationProposer.
func (s *migrationSimulation) ProposeFreeze(next *Table, slots []int) {
	s.inFlight = append(s.inFlight, migrationEntry{kind: entryFreeze, table: next, slots: slots})
}

// ProposeActivation implements MigrationProposer.
func (s *migrationSimulation) ProposeActivation(next *Table) {
	s.inFlight = append(s.inFlight, migrationEntry{kind: entryActivate, version: next.Version})
}

// deliver appends proposed entries to the log in any order; some are delayed or lost.
func (s *migrationSimulation) deliver() {
	for len(s.inFlight) > 0 && s.random.IntN(3) > 0 {
		n := s.random.IntN(len(s.inFlight))
		if s.random.IntN(10) > 0 {
			s.log = append(s.log, s.inFlight[n])
		}
		s.inFlight = slices.Delete(s.inFlight, n, n+1)
	}
}

// runMember applies entries, acknowledges and calls.
func (s *migrationSimulation) runMember(m *migrationMember) {
	m.finishCalls(s.now)
	for !m.isInboundCut && m.applied < len(s.log) && s.random.IntN(5) > 0 {
		m.applied++
		s.apply(m, s.log[m.applied-1])
	}
	if s.clock(m) >= m.nextAck && !m.isOutboundCut && !m.hasCallOnFrozenSlot() {
		s.inFlight = append(s.inFlight, migrationEntry{kind: entryAck, process: m.process, version: m.ackVersion, sent: s.clock(m)})
		m.nextAck = s.clock(m) + s.leaderTerms.Duration/5
	}
	s.call(m)
}

func (s *migrationSimulation) apply(m *migrationMember, e migrationEntry) {
	switch e.kind {
	case entryFreeze:
		if !m.state.Freeze(e.table, e.slots) {
			return
		}
		m.gate.Freeze(e.slots)
		m.ackVersion = e.table.Version
		if m == s.leader {
			s.migrator.FreezeApplied(e.table.Version)
			s.frozenAt = s.now
		}
	case entryActivate:
		if !m.state.Activate(e.version) {
			return
		}
		m.gate.Activate(m.state.Active)
		if m == s.leader {
			s.migrator.ActivationApplied(e.version)
			s.figures.activated++
			s.figures.longestFreeze = max(s.figures.longestFreeze, s.now-s.frozenAt)
		}
	case entryAck:
		if !m.state.AcceptsAcknowledgement(e.version) {
			return
		}
		if m == s.leader {
			s.migrator.AcknowledgementApplied(s.clock(m), e.process, e.version)
		}
		if e.process == m.process {
			m.gate.ExtendLease(e.sent, s.memberTerms)
		}
	}
}

// call makes a call, if it is allowed. It is cancelled at its deadline at the latest.
func (s *migrationSimulation) call(m *migrationMember) {
	slot := s.random.IntN(simulatedSlots)
	backend, deadline, decision := m.gate.Admit(s.clock(m), slot, NotIdempotent)
	if decision != Allow {
		return
	}
	s.figures.calls++
	wanted := s.clock(m) + time.Duration(s.random.IntN(200))*time.Millisecond
	end := time.Duration(float64(min(wanted, deadline))/m.clockRate) + s.memberTerms.CancelDelay
	m.inFlight = append(m.inFlight, inFlightCall{slot, backend.Name, end})
}

// runLeader starts and continues migrations.
func (s *migrationSimulation) runLeader() {
	now, state := s.clock(s.leader), &s.leader.state
	if !s.migrator.InProgress() && state.Pending == nil && s.random.IntN(40) == 0 {
		next, migrations, _, _ := state.Active.Plan(testBackends(6)[s.random.IntN(3):3+s.random.IntN(4)], BalanceBound{}, nil)
		s.migrator.Start(now, next, migrations)
	}
	s.migrator.Tick(now)
}

// countViolations counts the slots that are called at two backends now.
func (s *migrationSimulation) countViolations() {
	calledAt := map[int]string{}
	for _, m := range s.members {
		for _, c := range m.inFlight {
			if c.end <= s.now {
				continue
			}
			if backend, ok := calledAt[c.slot]; ok && backend != c.backend {
				s.figures.violations++
			}
			calledAt[c.slot] = c.backend
		}
	}
}

// injectFault starts or ends a member's fault, or changes the leader, also during a migration, to one that has applied all
// entries.
func (s *migrationSimulation) injectFault() {
	switch m := s.members[s.random.IntN(len(s.members))]; s.random.IntN(300) {
	case 0:
		m.isInboundCut = !m.isInboundCut
	case 1:
		m.isOutboundCut = !m.isOutboundCut
	case 2:
		m.isPaused = !m.isPaused
	case 3:
		if !m.isPaused && !m.isInboundCut && m != s.leader && m.applied == len(s.log) {
			s.leader, s.frozenAt = m, s.now
			s.migrator = NewMigrator(s.clock(m), s, s.leaderTerms, s.processes(), m.state.Pending, m.state.MigratingSlots)
		}
	}
}
