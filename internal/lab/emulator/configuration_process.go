package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/subset"
)

// noZone is the zone of control nodes.
const noZone = -1

// configurationProcess is one process. It implements configuration.Host for its Member or ControlNode.
type configurationProcess struct {
	simulation   *configurationSimulation
	index        int // in configurationSimulation.processes
	name         string
	region, zone int
	isUp         bool
	isPaused     bool
	isByzantine  bool // it corrupts what it sends
	hasRelayed   bool // it has had children in the tree
	incarnation  int
	member       *configuration.Member     // nil in a control node
	control      *configurationControlNode // nil in a member
	claim        subset.Claim

	activeVersion  configuration.Version
	confirmedAt    time.Duration // when the log last confirmed the state that it would restart from
	reachableSince time.Duration // unreachable while it is isolated
	targetCounter  uint64        // counter of the newest version at reachableSince
	isCaughtUp     bool          // it has reached targetCounter, or is isolated
	recovery       configurationRecovery
	traffic        configurationTraffic
}

// configurationRecovery is the reason why a process became reachable and had to catch up.
type configurationRecovery int

const (
	recoveryFromSnapshot  configurationRecovery = iota // restarted with its last state
	recoveryFromImage                                  // started with the state in its image
	recoveryFromNothing                                // started without a state
	recoveryFromPartition                              // a partition healed
	recoveryCount
)

// startMember starts a member's process with a state.
func (s *configurationSimulation) startMember(p *configurationProcess, state *configuration.State, recovery configurationRecovery) {
	p.incarnation++
	p.isUp, p.isPaused, p.isByzantine = true, false, false
	p.activeVersion = state.Version()
	if recovery != recoveryFromSnapshot {
		p.confirmedAt = 0
	}
	p.member = configuration.NewMember(s.now, p, state, s.now-p.confirmedAt, s.random.Uint64())
	if onStart := s.scenario.OnStart.Member; onStart != nil {
		onStart(p.member)
	}
	p.member.SetSources(s.now, s.zones[p.zone].tree[p.name])
	p.traffic.reset(s.now)
	s.markReachable(p, recovery)
	s.tickAfter(s.jitter(configuration.TickInterval), p)
}

// tickProcess ticks a process unless it is paused, and schedules its next tick after TickInterval.
func (s *configurationSimulation) tickProcess(p *configurationProcess) {
	if !p.isPaused && p.member != nil {
		p.member.Tick(s.now)
		p.hasRelayed = p.hasRelayed || p.member.ChildCount() > 0
	}
	if !p.isPaused && p.control != nil {
		p.control.Tick(s.now)
		s.maxControlPeers = max(s.maxControlPeers, p.control.ChildCount())
	}
	s.tickAfter(configuration.TickInterval, p)
}

// markReachable starts to measure how long a process takes to catch up, unless it is isolated.
func (s *configurationSimulation) markReachable(p *configurationProcess, recovery configurationRecovery) {
	p.recovery = recovery
	if s.network.isIsolated(p) {
		p.reachableSince, p.isCaughtUp = unreachable, true
		return
	}
	p.reachableSince, p.isCaughtUp, p.targetCounter = s.now, false, s.checker.newestCounter()
	s.checker.recordCaughtUp(p, s.now)
}

// Send implements configuration.Host.
func (p *configurationProcess) Send(to string, m configuration.Message) {
	if receiver := p.simulation.byName[to]; receiver != nil {
		p.simulation.send(p, receiver, m)
	}
}

// Activated implements configuration.Host. It checks the state, and kills a relay before the relay has pushed the state if
// such a kill is pending.
func (p *configurationProcess) Activated(now time.Duration, state *configuration.State) {
	s := p.simulation
	s.checker.checkActivation(p, now, state)
	if p.member != nil && s.pendingRelayKills > 0 && p.member.ChildCount() >= minRelayChildren {
		s.pendingRelayKills--
		s.checker.result.RelaysKilled++
		s.after(0, func() { s.kill(p, s.restartLater(p)) })
	}
}

func (p *configurationProcess) receive(from string, m configuration.Message) {
	var err error
	if p.member != nil {
		err = p.member.Receive(p.simulation.now, from, m)
	} else {
		err = p.control.Receive(p.simulation.now, from, m)
	}
	if err != nil {
		p.simulation.checker.result.MessagesRejected++
	}
}
