package emulator

import (
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/lease"
)

const (
	configurationLogInterval = 100 * time.Millisecond // between two calls of tickLog
	electionTimeout          = time.Second            // until a leader without a quorum is replaced
	proposalLossPercent      = 1
	entriesPerDuplicate      = 50 // one of 50 effective entries is committed twice, on average
)

// configurationLog is the replicated log of the control nodes, a simplified model of Raft: the leader must reach a quorum of
// voters, a command is committed after the leader's round trip to a quorum, and the control nodes receive the entry later.
type configurationLog struct {
	entries         []configurationEntry
	leader          int           // index of its process in the simulation
	leaderlessSince time.Duration // when the leader lost its quorum; 0: it has one
}

type configurationEntry struct {
	lease.Command
	change  *configuration.Command // the decoded body; nil if the command is no decision
	isStale bool                   // its token is older than the last one granted
}

func (s *configurationSimulation) leader() *configurationProcess { return s.processes[s.log.leader] }

func (s *configurationSimulation) voters() []*configurationProcess {
	return s.processes[:s.scenario.voters]
}

// isRunning reports whether the process is up and not paused.
func (p *configurationProcess) isRunning() bool { return p.isUp && !p.isPaused }

// hasQuorum reports whether a process is running and reaches a quorum of the voters.
func (s *configurationSimulation) hasQuorum(p *configurationProcess) bool {
	reached := 0
	for _, voter := range s.voters() {
		if voter.isRunning() && s.network.isReachable(p, voter) {
			reached++
		}
	}
	return p.isRunning() && reached > s.scenario.voters/2
}

// propose sends a command to the log's leader, which appends it once a quorum has committed it. The command is lost if the
// leader is unreachable, has no quorum or is replaced meanwhile, and at random.
func (s *configurationSimulation) propose(p *configurationProcess, c lease.Command) {
	leader := s.leader()
	delay := s.network.delay[p.region][leader.region] + s.jitter(20*time.Millisecond)
	s.after(delay, func() {
		if !s.network.isReachable(p, leader) || !s.hasQuorum(leader) || s.random.IntN(100) < proposalLossPercent {
			s.checker.result.ProposalsLost++
			return
		}
		s.after(s.quorumRoundTrip(leader), func() {
			if s.leader() == leader && s.hasQuorum(leader) {
				s.appendEntry(c)
			} else {
				s.checker.result.ProposalsLost++
			}
		})
	})
}

// quorumRoundTrip returns the time of the leader's round trip to the nearest quorum.
func (s *configurationSimulation) quorumRoundTrip(leader *configurationProcess) time.Duration {
	var roundTrips []time.Duration
	for _, p := range s.voters() {
		if p != leader && p.isRunning() && s.network.isReachable(leader, p) {
			roundTrips = append(roundTrips, 2*s.network.delay[leader.region][p.region])
		}
	}
	slices.Sort(roundTrips)
	return roundTrips[min(s.scenario.voters/2-1, len(roundTrips)-1)]
}

// appendEntry commits a command and sends it to the control nodes. It commits some commands a second time later.
func (s *configurationSimulation) appendEntry(c lease.Command) {
	entry := configurationEntry{Command: c}
	if c.Kind == lease.Decide {
		change, err := configuration.DecodeCommand([]byte(c.Body))
		if err != nil {
			return
		}
		entry.change = &change
		granted, _ := s.checker.table.Lookup(configurationDuty)
		entry.isStale = c.Token < granted.Token
	}
	s.log.entries = append(s.log.entries, entry)
	index := len(s.log.entries)
	var requestedAt time.Duration
	if len(s.pendingChanges) > 0 {
		requestedAt = s.pendingChanges[0].requestedAt
	}
	isEffective := s.checker.commit(uint64(index), entry, requestedAt)
	if isEffective && len(s.pendingChanges) > 0 {
		s.pendingChanges = s.pendingChanges[1:]
	}
	for _, p := range s.controlProcesses() {
		delay := s.network.delay[s.leader().region][p.region]
		s.after(delay+s.jitter(delay/4), func() { s.applyEntries(p, index) })
	}
	if isEffective && s.random.IntN(entriesPerDuplicate) == 0 {
		s.after(s.jitter(3*time.Second), func() { s.appendEntry(c) })
	}
}

// tickLog elects a new leader if necessary, has the control nodes that the leader reaches catch up, and ticks all electors.
func (s *configurationSimulation) tickLog() {
	s.electLeader()
	leader := s.leader()
	leaderHasQuorum := s.hasQuorum(leader)
	for _, p := range s.controlProcesses() {
		if !p.isRunning() {
			continue
		}
		if leaderHasQuorum && s.network.isReachable(leader, p) {
			p.control.isolatedSince = 0
			s.catchUp(p)
		} else if p.control.isolatedSince == 0 {
			p.control.isolatedSince = s.now
		}
		p.control.elector.Tick(p.control.clock())
	}
}

// electLeader replaces the leader if it has been without a quorum for electionTimeout.
func (s *configurationSimulation) electLeader() {
	l := &s.log
	switch {
	case s.hasQuorum(s.leader()):
		l.leaderlessSince = 0
	case l.leaderlessSince == 0:
		l.leaderlessSince = s.now
	case s.now-l.leaderlessSince > electionTimeout:
		if next := slices.IndexFunc(s.voters(), s.hasQuorum); next >= 0 {
			l.leader, l.leaderlessSince = next, 0
		}
	}
}

// catchUp sends all entries to a control node. Once the node has applied them, the log counts as confirmed to it.
func (s *configurationSimulation) catchUp(p *configurationProcess) {
	entries, incarnation := len(s.log.entries), p.incarnation
	s.after(s.network.delay[s.leader().region][p.region], func() {
		s.applyEntries(p, entries)
		if p.incarnation == incarnation && p.isRunning() && p.control.appliedEntries >= entries {
			p.control.LogConfirmed(s.now)
		}
	})
}
