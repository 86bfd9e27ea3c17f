package emulator

import (
	"fmt"
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
)

const (
	failureDetectionTime = 6 * time.Second // until a dead member is removed from its zone's view, plus up to maxViewDelay
	maxViewDelay         = 2 * time.Second // until all members of a zone have a new view
	minRestartTime       = 2 * time.Second
	restartJitter        = 6 * time.Second
	updateDuration       = 3 * time.Second  // until a member that updateMember stopped starts again
	replacementDelay     = 30 * time.Second // until a lost machine is replaced by a new one
	rackOutage           = time.Minute
	controlNodeOutage    = 10 * time.Second
	leaseHolderPause     = 8 * time.Second
	byzantineDuration    = 2 * time.Minute
	minRelayChildren     = 3 // of a relay that is selected for a fault
)

// kill stops a process and calls scheduleRestart. It does nothing if the process is already down.
func (s *configurationSimulation) kill(p *configurationProcess, scheduleRestart func()) {
	if !p.isUp {
		return
	}
	p.isUp = false
	if p.member != nil {
		p.confirmedAt = s.now - p.member.Age(s.now)
		incarnation := p.incarnation
		s.after(failureDetectionTime+s.jitter(maxViewDelay), func() {
			if !p.isUp && p.incarnation == incarnation {
				s.removeFromZone(p)
			}
		})
	}
	scheduleRestart()
}

// killRandomMember kills a random member, which restarts with its last state.
func (s *configurationSimulation) killRandomMember() {
	p := s.randomMember()
	s.kill(p, s.restartLater(p))
}

// restartLater schedules the restart of a member with its last state.
func (s *configurationSimulation) restartLater(p *configurationProcess) func() {
	return func() { s.restartAfter(minRestartTime+s.jitter(restartJitter), p) }
}

func (s *configurationSimulation) restartAfter(delay time.Duration, p *configurationProcess) {
	s.after(delay, func() { s.restartMember(p, p.member.State(), recoveryFromSnapshot) })
}

// restartMember starts a member that is down, and adds it to its zone's view if the view lacks it.
func (s *configurationSimulation) restartMember(p *configurationProcess, state *configuration.State, recovery configurationRecovery) {
	if p.isUp {
		return
	}
	if z := s.zones[p.zone]; !slices.Contains(z.members, p) {
		p.claim.JoinEpoch = uint64(s.now)
		z.members = append(z.members, p)
		s.rebuildTree(z)
		s.distributeTree(z)
	}
	s.startMember(p, state, recovery)
}

// removeFromZone removes a dead member from its zone's view.
func (s *configurationSimulation) removeFromZone(p *configurationProcess) {
	z := s.zones[p.zone]
	z.members = slices.DeleteFunc(z.members, func(other *configurationProcess) bool { return other == p })
	s.rebuildTree(z)
	s.distributeTree(z)
}

// distributeTree sets the sources of a zone's members to those in the new tree, each after a random delay of up to
// maxViewDelay.
func (s *configurationSimulation) distributeTree(z *configurationZone) {
	tree := z.tree
	for _, p := range z.members {
		incarnation := p.incarnation
		s.after(s.jitter(maxViewDelay), func() {
			if sources, found := tree[p.name]; found && p.isUp && p.incarnation == incarnation {
				p.member.SetSources(s.now, sources)
			}
		})
	}
}

// randomMember returns a random member that is up.
func (s *configurationSimulation) randomMember() *configurationProcess {
	members := s.memberProcesses()
	for {
		if p := members[s.random.IntN(len(members))]; p.isUp {
			return p
		}
	}
}

// updateMember replaces a member's program with a release whose image contains the initial state.
func (s *configurationSimulation) updateMember(p *configurationProcess) {
	s.kill(p, func() {
		s.after(updateDuration, func() { s.restartMember(p, s.initialState, recoveryFromImage) })
	})
}

// loseMachine stops a member for good. A new member replaces it and starts either without a state or with the state in its
// image.
func (s *configurationSimulation) loseMachine(p *configurationProcess) {
	s.kill(p, func() {
		s.after(replacementDelay, func() {
			replacement := s.addProcess(fmt.Sprintf("%s-%d", p.name[:len("member-0000")], len(s.processes)), p.region, p.zone)
			replacement.claim.Name, replacement.claim.Rank = replacement.name, -1
			if s.random.IntN(2) == 0 {
				s.restartMember(replacement, configuration.Empty(), recoveryFromNothing)
			} else {
				s.restartMember(replacement, s.initialState, recoveryFromImage)
			}
		})
	})
}

// failRack kills the members of one rack in a random zone; they restart after rackOutage.
func (s *configurationSimulation) failRack() {
	z := s.zones[s.random.IntN(len(s.zones))]
	for _, p := range slices.Clone(z.members[:min(s.scenario.rackSize, len(z.members))]) {
		s.kill(p, func() { s.restartAfter(rackOutage, p) })
	}
}

// failZone kills all members of a random zone; they restart after the scenario's zoneOutage.
func (s *configurationSimulation) failZone() {
	for _, p := range slices.Clone(s.zones[s.random.IntN(len(s.zones))].members) {
		s.kill(p, func() { s.restartAfter(s.scenario.zoneOutage+s.jitter(5*time.Second), p) })
	}
}

// restartHalf kills every other member at once; each restarts with its last state.
func (s *configurationSimulation) restartHalf() {
	for n, p := range slices.Clone(s.memberProcesses()) {
		if n%2 == 0 && p.isUp {
			s.kill(p, s.restartLater(p))
		}
	}
}

// makeRelayByzantine makes a random relay corrupt what it sends, for byzantineDuration.
func (s *configurationSimulation) makeRelayByzantine() {
	p := s.randomMember()
	for n := 0; n < 1000 && p.member.ChildCount() < minRelayChildren; n++ {
		p = s.randomMember()
	}
	p.isByzantine = true
	s.after(byzantineDuration, func() { p.isByzantine = false })
}

// pauseLeaseHolder pauses the lease holder for longer than its lease lasts. It then proposes a change without checking the
// lease.
func (s *configurationSimulation) pauseLeaseHolder() {
	for _, p := range s.controlProcesses() {
		if _, isHolder := p.control.elector.Token(p.control.clock(), configurationDuty); !isHolder || !p.isUp {
			continue
		}
		p.isPaused = true
		s.after(leaseHolderPause, func() {
			p.isPaused = false
			if p.isUp {
				p.control.proposeWithoutLeaseCheck()
			}
		})
		return
	}
}

// restartControlNode kills a control node, which restarts after controlNodeOutage with what it keeps on disk.
func (s *configurationSimulation) restartControlNode(index int) {
	p := s.processes[index]
	if !p.isUp {
		return
	}
	p.isUp = false
	s.after(controlNodeOutage, func() {
		p.control.start()
		s.tickProcess(p)
	})
}
