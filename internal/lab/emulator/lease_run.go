package emulator

import (
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/lease"
)

const (
	leaseStep         = 25 * time.Millisecond // of emulated time
	decideEvery       = 8                     // steps
	faultEvery        = 4                     // leases
	faultAt           = 2                     // leases after the last heal
	lossOdds          = 20                    // one of 20 proposals is lost
	maxEntriesPerStep = 5                     // that a member applies
)

// leaseRun is a run with faults on a LeaseSim.
type leaseRun struct {
	*LeaseSim
	random        *rand.Rand
	stepsPerLease int
}

// LeaseScenario is what RunLeases runs.
type LeaseScenario struct {
	Members int
	Leases  int // length of the run in lease durations
	Seed    uint64
	// OnStart is called with the table and the fence of each process that starts, before it applies an entry; nil for none.
	OnStart func(*lease.Table, *lease.Fence)
}

// RunLeases emulates a fleet through faults. Every few leases one holder is paused, restarted, or cut off in one direction,
// and all faults are healed; one in twenty proposals is lost. At the end all members have the complete log.
func RunLeases(scenario LeaseScenario) (LeaseFigures, error) {
	random := rand.New(rand.NewPCG(scenario.Seed, 0x07e4))
	config := lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 10 * time.Millisecond}
	s := &LeaseSim{Config: config, onStart: scenario.OnStart}
	if err := s.start(scenario.Members, random, []string{"budget", "ring", "roll"}); err != nil {
		return LeaseFigures{}, err
	}
	run := &leaseRun{LeaseSim: s, random: random, stepsPerLease: int(config.Duration / leaseStep)}
	for n := range scenario.Leases * run.stepsPerLease {
		run.step(n)
	}
	s.settle()
	return s.Figures, nil
}

// step plays the n-th step: commits, deliveries, decisions and faults.
func (run *leaseRun) step(n int) {
	run.Advance(leaseStep)
	run.commitSome()
	for _, m := range run.Members {
		run.Deliver(m, run.random.IntN(maxEntriesPerStep+1))
	}
	if n%decideEvery == 0 {
		if m := run.randomHolder(); m != nil {
			run.Decide(m)
		}
	}
	switch n % (faultEvery * run.stepsPerLease) {
	case faultAt * run.stepsPerLease:
		if m := run.randomHolder(); m != nil {
			run.injectFault(m)
		}
	case faultEvery*run.stepsPerLease - 1:
		run.heal()
	}
	_ = run.Check() // it counts in the figures
}

// commitSome commits or loses some of the proposals in flight, in any order; the others remain.
func (run *leaseRun) commitSome() {
	for run.InFlight() > 0 && run.random.IntN(4) > 0 {
		n := run.random.IntN(run.InFlight())
		if run.random.IntN(lossOdds) == 0 {
			run.Drop(n)
		} else {
			run.Commit(n)
		}
	}
}

// randomHolder returns the holder of a random duty, nil if it has none.
func (run *leaseRun) randomHolder() *LeaseMember {
	return run.HolderOf(run.duties[run.random.IntN(len(run.duties))])
}

// injectFault restarts, cuts off in one direction, or pauses a member.
func (run *leaseRun) injectFault(m *LeaseMember) {
	switch run.random.IntN(4) {
	case 0:
		run.Restart(m)
	case 1:
		m.InboundCut = true
	case 2:
		m.OutboundCut = true
	default:
		m.Paused = true
	}
}

// heal ends all faults. A member that was paused continues without checking its lease first.
func (run *leaseRun) heal() {
	for _, m := range run.Members {
		wasPaused := m.Paused
		m.Paused, m.InboundCut, m.OutboundCut = false, false, false
		if wasPaused {
			run.ProposeStale(m)
		}
	}
}
