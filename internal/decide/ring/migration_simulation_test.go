package ring

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Size of a simulation of migrations.
const (
	simulatedMembers = 5
	simulatedSlots   = 16
	simulationTicks  = 6000
	simulationTick   = 10 * time.Millisecond
)

// Kinds of log entries.
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
	sent    time.Duration // by the sender's clock; only of an acknowledgement
}

// inFlightCall is a call that runs at a backend.
type inFlightCall struct {
	slot    int
	backend string
	end     time.Duration // in true time, including the delay of a cancellation
}

// migrationMember is a member of the simulated fleet.
type migrationMember struct {
	process                                               string
	clockRate                                             float64 // of the member's clock, relative to true time
	state                                                 ReplicatedState
	gate                                                  *CallGate
	applied                                               int // number of log entries applied
	isInboundPartitioned, isOutboundPartitioned, isPaused bool
	inFlight                                              []inFlightCall
	ackVersion                                            uint64 // version to acknowledge; only sent while no call is in flight on a frozen slot
	nextAck                                               time.Duration
}

// finishCalls removes the calls that have ended.
func (m *migrationMember) finishCalls(now time.Duration) {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(c inFlightCall) bool { return c.end <= now })
}

// hasCallOnFrozenSlot reports whether a call is in flight on a frozen slot. The freeze cannot be acknowledged until it ends.
func (m *migrationMember) hasCallOnFrozenSlot() bool {
	return slices.ContainsFunc(m.inFlight, func(c inFlightCall) bool { return m.gate.frozen[c.slot] })
}

// migrationStats holds the results of a simulation.
type migrationStats struct {
	violations    int // slots called at two backends at once, counted each tick
	activated     int // number of migrations completed
	calls         int
	longestFreeze time.Duration
}

// migrationSimulation simulates a fleet whose leader migrates slots repeatedly, while members are partitioned and suspended,
// leaders change during migrations, and entries are lost and reordered.
type migrationSimulation struct {
	random                   *rand.Rand
	leaderTerms, memberTerms LeaseTerms
	now                      time.Duration // true time
	log, inFlight            []migrationEntry
	members                  []*migrationMember
	leader                   *migrationMember
	migrator                 *Migrator
	frozenAt                 time.Duration
	stats                    migrationStats
}

// simulateMigrations runs a simulation for a minute.
func simulateMigrations(seed uint64, leaderTerms, memberTerms LeaseTerms) migrationStats {
	s := newMigrationSimulation(seed, leaderTerms, memberTerms)
	for range simulationTicks {
		s.now += simulationTick
		s.deliver()
		for _, m := range s.members {
			if !m.isPaused {
				s.runMember(m)
			}
		}
		if !s.leader.isPaused && !s.leader.isInboundPartitioned {
			s.runLeader()
		}
		s.countViolations()
		s.injectFault()
	}
	return s.stats
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

// deliver appends proposed entries to the log in random order. Some are delayed or lost.
func (s *migrationSimulation) deliver() {
	for len(s.inFlight) > 0 && s.random.IntN(3) > 0 {
		n := s.random.IntN(len(s.inFlight))
		if s.random.IntN(10) > 0 {
			s.log = append(s.log, s.inFlight[n])
		}
		s.inFlight = slices.Delete(s.inFlight, n, n+1)
	}
}

// runMember applies entries, sends an acknowledgement when it is due, and makes a call if it is allowed.
func (s *migrationSimulation) runMember(m *migrationMember) {
	m.finishCalls(s.now)
	for !m.isInboundPartitioned && m.applied < len(s.log) && s.random.IntN(5) > 0 {
		m.applied++
		s.apply(m, s.log[m.applied-1])
	}
	if s.clock(m) >= m.nextAck && !m.isOutboundPartitioned && !m.hasCallOnFrozenSlot() {
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
			s.stats.activated++
			s.stats.longestFreeze = max(s.stats.longestFreeze, s.now-s.frozenAt)
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

// call makes a call if the gate allows it. The call is cancelled at its deadline at the latest.
func (s *migrationSimulation) call(m *migrationMember) {
	slot := s.random.IntN(simulatedSlots)
	backend, deadline, decision := m.gate.Admit(s.clock(m), slot, NotIdempotent)
	if decision != Allow {
		return
	}
	s.stats.calls++
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
				s.stats.violations++
			}
			calledAt[c.slot] = c.backend
		}
	}
}

// injectFault starts or ends a fault of a random member, or makes a member that has applied all entries the leader, even
// during a migration.
func (s *migrationSimulation) injectFault() {
	switch m := s.members[s.random.IntN(len(s.members))]; s.random.IntN(300) {
	case 0:
		m.isInboundPartitioned = !m.isInboundPartitioned
	case 1:
		m.isOutboundPartitioned = !m.isOutboundPartitioned
	case 2:
		m.isPaused = !m.isPaused
	case 3:
		if !m.isPaused && !m.isInboundPartitioned && m != s.leader && m.applied == len(s.log) {
			s.leader, s.frozenAt = m, s.now
			s.migrator = NewMigrator(s.clock(m), s, s.leaderTerms, s.processes(), m.state.Pending, m.state.MigratingSlots)
		}
	}
}
