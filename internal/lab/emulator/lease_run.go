package emulator

import (
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/lease"
)

const (
	leaseStepDuration = 25 * time.Millisecond // of simulated time
	stepsPerDecision  = 8
	leasesPerFault    = 4  // lease durations from one fault to the next
	faultOffsetLeases = 2  // lease durations after the last heal
	proposalsPerLoss  = 20 // one of 20 proposals is lost, on average
	maxEntriesPerStep = 5  // that a member applies
)

// leaseRun plays a LeaseScenario with faults on a LeaseSim.
type leaseRun struct {
	*LeaseSim
	random        *rand.Rand
	stepsPerLease int
}

// LeaseScenario is the size and length of a run of RunLeases.
type LeaseScenario struct {
	Members int
	Leases  int // length of the run, in lease durations
	Seed    uint64
	// OnStart, if not nil, is called with the table and the fence of each process that starts, before it applies an entry.
	OnStart func(*lease.Table, *lease.Fence)
}

// RunLeases simulates a fleet with faults: every leasesPerFault lease durations one holder is paused, restarted or cut off in
// one direction, and some time later all faults end. One in twenty proposals is lost. At the end all members receive the
// complete log.
func RunLeases(scenario LeaseScenario) (LeaseFigures, error) {
	random := rand.New(rand.NewPCG(scenario.Seed, 0x07e4))
	config := lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 10 * time.Millisecond}
	s := &LeaseSim{Config: config, onStart: scenario.OnStart}
	if err := s.start(scenario.Members, random, []string{"budget", "ring", "roll"}); err != nil {
		return LeaseFigures{}, err
	}
	run := &leaseRun{LeaseSim: s, random: random, stepsPerLease: int(config.Duration / leaseStepDuration)}
	for n := range scenario.Leases * run.stepsPerLease {
		run.step(n)
	}
	s.settle()
	return s.Figures, nil
}

// step plays the n-th step: commits, deliveries, decisions and faults.
func (run *leaseRun) step(n int) {
	run.Advance(leaseStepDuration)
	run.commitSome()
	for _, m := range run.Members {
		run.Deliver(m, run.random.IntN(maxEntriesPerStep+1))
	}
	if n%stepsPerDecision == 0 {
		if m := run.randomHolder(); m != nil {
			run.Decide(m)
		}
	}
	switch n % (leasesPerFault * run.stepsPerLease) {
	case faultOffsetLeases * run.stepsPerLease:
		if m := run.randomHolder(); m != nil {
			run.injectFault(m)
		}
	case leasesPerFault*run.stepsPerLease - 1:
		run.heal()
	}
	_ = run.Check() // violations are counted in Figures
}

// commitSome commits or loses a random number of the proposals in flight, in random order.
func (run *leaseRun) commitSome() {
	for run.InFlight() > 0 && run.random.IntN(4) > 0 {
		n := run.random.IntN(run.InFlight())
		if run.random.IntN(proposalsPerLoss) == 0 {
			run.Drop(n)
		} else {
			run.Commit(n)
		}
	}
}

// randomHolder returns the holder of a random duty, or nil if the duty has none.
func (run *leaseRun) randomHolder() *LeaseMember {
	return run.HolderOf(run.duties[run.random.IntN(len(run.duties))])
}

// injectFault restarts a member, cuts it off in one direction, or pauses it.
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

// heal ends all faults. Each member that was paused then proposes decisions without checking its leases.
func (run *leaseRun) heal() {
	for _, m := range run.Members {
		wasPaused := m.Paused
		m.Paused, m.InboundCut, m.OutboundCut = false, false, false
		if wasPaused {
			run.ProposeStale(m)
		}
	}
}
