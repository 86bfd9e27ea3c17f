package ring

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// disabledGuards are the guards that a simulation runs without, to prove that the check detects it.
type disabledGuards struct {
	quotas        bool // calls need no quota
	quotaExpiry   bool // quotas outlive the lease
	grantInterval bool // grants are proposed too early
	grantSplit    bool // each member takes the whole grant
}

// logEntry is an entry of the simulated log: a grant, or an acknowledgement.
type logEntry struct {
	grant   *Grant
	process string
	sent    time.Duration // by the clock of that process
}

type budgetMember struct {
	process                string
	clockRate              float64 // of its clock to true time
	state                  ReplicatedState
	gate                   *CallGate
	applied                int // entries applied
	nextAck                time.Duration
	isInboundCut, isPaused bool
	joinsAt                time.Duration
}

// budgetSimulation is a fleet that calls a backend in slow start as often as it may. Members are partitioned, suspended, join
// late and apply the log late; leaders change; entries are lost and reordered.
type budgetSimulation struct {
	random                *rand.Rand
	disabled              disabledGuards
	now                   time.Duration // true time
	members               []*budgetMember
	backends              []Backend
	slot                  int // of the backend in slow start
	log, inFlight         []logEntry
	leader                *budgetMember
	controller            *WarmUpController
	lastAcknowledged      map[string]time.Duration // as the leader knows
	faultCycle            time.Duration
	isPartitioned, isIdle bool

	arrived       []time.Duration // within the last window
	sent, allowed int
}

func newBudgetSimulation(seed uint64, members int, disabled disabledGuards) *budgetSimulation {
	f := &budgetSimulation{random: rand.New(rand.NewPCG(seed, 0x40c1)), disabled: disabled, lastAcknowledged: map[string]time.Duration{}}
	empty, _ := New(64)
	f.backends = append(testBackends(4), Backend{Name: "new", Zone: "z", Weight: 1, WarmingUp: true})
	first := slices.Clone(f.backends)
	first[4].Weight = slowStart.InitialFraction
	table, _, _, _ := empty.Plan(first, BalanceBound{}, nil)
	f.slot = slices.IndexFunc(table.slots, func(b int16) bool { return table.backends[b].Name == "new" })
	if disabled.quotas {
		table.backends[table.slots[f.slot]].WarmingUp = false
	}
	for n := range members {
		m := &budgetMember{
			process:   fmt.Sprintf("m%02d", n),
			clockRate: 1 + leaseTerms.MaxDrift*(2*f.random.Float64()-1),
			state:     ReplicatedState{Active: table},
			gate:      NewCallGate(table),
		}
		if n%8 == 7 {
			m.joinsAt = 4 * time.Second
		}
		f.members = append(f.members, m)
	}
	f.leader, f.controller = f.members[0], NewWarmUpController(0, slowStart, callBudget, leaseTerms)
	f.faultCycle = time.Duration(2+f.random.IntN(8)) * time.Second
	return f
}

func (f *budgetSimulation) clock(m *budgetMember) time.Duration {
	return time.Duration(float64(f.now) * m.clockRate)
}

// injectFaults starts and ends faults.
func (f *budgetSimulation) injectFaults() {
	if f.random.IntN(300) == 0 {
		f.isIdle = !f.isIdle && f.random.IntN(3) == 0 // no member calls for a while, then all do
	}
	// Most of the fleet receives no entry for a while, and then all of them in one tick.
	if f.isPartitioned != (f.now%f.faultCycle > f.faultCycle/4) {
		f.isPartitioned = !f.isPartitioned
		for _, m := range f.members[len(f.members)/8:] {
			m.isInboundCut = f.isPartitioned
		}
	}
	switch m, draw := f.members[f.random.IntN(len(f.members))], f.random.IntN(1000); {
	case draw < 20:
		m.isInboundCut = f.random.IntN(4) == 0
	case draw < 40:
		m.isPaused = f.random.IntN(4) == 0
	case draw < 43 && !m.isPaused && !m.isInboundCut && f.now >= m.joinsAt && m.applied == len(f.log):
		f.leader = m
		f.controller = NewWarmUpController(f.clock(m), slowStart, callBudget, leaseTerms)
	}
}

// deliver appends proposed entries to the log in any order; some are delayed or lost.
func (f *budgetSimulation) deliver() {
	for len(f.inFlight) > 0 && f.random.IntN(12) > 0 {
		n := f.random.IntN(len(f.inFlight))
		if f.random.IntN(30) > 0 {
			f.log = append(f.log, f.inFlight[n])
		}
		f.inFlight = slices.Delete(f.inFlight, n, n+1)
	}
}

func (f *budgetSimulation) apply(m *budgetMember, e logEntry) {
	if e.grant == nil {
		m.state.RecordAcknowledgement(e.process)
		if e.process == m.process {
			m.gate.ExtendLease(e.sent, leaseTerms)
		}
		if m == f.leader {
			f.lastAcknowledged[e.process] = f.now
		}
		return
	}
	if !m.state.ApplyGrant(*e.grant) {
		return
	}
	if m == f.leader {
		if f.controller.GrantApplied(f.clock(m)); f.disabled.grantInterval {
			f.controller.nextGrant -= callBudget.GrantInterval * 3 / 4
		}
	}
	quotas := e.grant.QuotasFor(m.state.Participants, m.process)
	if f.disabled.grantSplit && quotas != nil {
		quotas["new"] = e.grant.Quotas[0].Calls
	}
	if m.gate.SetQuotas(quotas); f.disabled.quotaExpiry && quotas != nil {
		m.gate.quotas["new"].expiry = time.Hour
	}
}

// runMember applies entries, acknowledges, and calls as often as it may.
func (f *budgetSimulation) runMember(m *budgetMember) {
	for !m.isInboundCut && m.applied < len(f.log) && f.random.IntN(10) > 0 {
		f.apply(m, f.log[m.applied])
		m.applied++
	}
	if f.clock(m) >= m.nextAck {
		f.inFlight = append(f.inFlight, logEntry{process: m.process, sent: f.clock(m)})
		m.nextAck = f.clock(m) + leaseTerms.Duration/5
	}
	for n := 0; n < 3 && !f.isIdle; n++ {
		if _, _, decision := m.gate.Admit(f.clock(m), f.slot, NotIdempotent); decision == Allow {
			f.arrived = append(f.arrived, f.now)
			f.sent++
		}
	}
}

func (f *budgetSimulation) runLeader() {
	f.controller.WeightedBackends(f.clock(f.leader), f.backends, f.leader.state.Active)
	if progress := f.controller.progress["new"]; progress != nil {
		f.allowed = max(f.allowed, callBudget.CallsAt(progress.fraction))
	}
	isAlive := func(process string) bool { return f.now-f.lastAcknowledged[process] < 2*leaseTerms.Duration }
	if grant, isDue := f.controller.NextGrant(f.clock(f.leader), &f.leader.state, isAlive); isDue {
		f.inFlight = append(f.inFlight, logEntry{grant: &grant})
	}
}

// simulateBudget runs such a fleet for 15 s. It returns the calls sent, and by how many the calls of all members within a
// window exceeded the budget at its end, at most.
func simulateBudget(seed uint64, members int, disabled disabledGuards) (sent, over int) {
	f := newBudgetSimulation(seed, members, disabled)
	for f.now < 15*time.Second {
		f.now += 5 * time.Millisecond
		f.injectFaults()
		f.deliver()
		for _, m := range f.members {
			if !m.isPaused && f.now >= m.joinsAt {
				f.runMember(m)
			}
		}
		if !f.leader.isPaused && !f.leader.isInboundCut {
			f.runLeader()
		}
		for len(f.arrived) > 0 && f.arrived[0] <= f.now-callBudget.Window {
			f.arrived = f.arrived[1:]
		}
		over = max(over, len(f.arrived)-f.allowed)
	}
	return f.sent, over
}
