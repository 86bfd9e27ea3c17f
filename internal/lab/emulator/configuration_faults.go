package emulator

import (
	"fmt"
	"slices"
	"time"

	"thymechute/internal/decide/configuration"
)

const (
	failureDetectionTime = 6 * time.Second // until a silent member is removed from its zone's view
	viewSpread           = 2 * time.Second // at most, until all members of a zone have a new view
	minRestartTime       = 2 * time.Second
	restartJitter        = 6 * time.Second
	releaseTime          = 3 * time.Second  // until a released member starts from its image
	replacementTime      = 30 * time.Second // until a lost machine is replaced
	rackOutage           = time.Minute
	controlNodeOutage    = 10 * time.Second
	leaseHolderPause     = 8 * time.Second
	byzantineTime        = 2 * time.Minute
	minRelayChildren     = 3 // of a relay that faults select
)

// kill ends a process now, and calls scheduleRestart. A process that is down already stays as it is.
func (s *configurationSimulation) kill(p *configurationProcess, scheduleRestart func()) {
	if !p.isUp {
		return
	}
	p.isUp = false
	if p.member != nil {
		p.confirmedAt = s.now - p.member.Age(s.now)
		incarnation := p.incarnation
		s.after(failureDetectionTime+s.jitter(viewSpread), func() {
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

// restartMember starts a member again and adds it to its zone's view.
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

// distributeTree gives a zone's members their sources in the new tree, each when it learns the new view.
func (s *configurationSimulation) distributeTree(z *configurationZone) {
	tree := z.tree
	for _, p := range z.members {
		incarnation := p.incarnation
		s.after(s.jitter(viewSpread), func() {
			if sources, found := tree[p.name]; found && p.isUp && p.incarnation == incarnation {
				p.member.SetSources(s.now, sources)
			}
		})
	}
}

// randomMember is a random member that is up.
func (s *configurationSimulation) randomMember() *configurationProcess {
	members := s.memberProcesses()
	for {
		if p := members[s.random.IntN(len(members))]; p.isUp {
			return p
		}
	}
}

// release replaces a member's program by one whose image has the initial state.
func (s *configurationSimulation) release(p *configurationProcess) {
	s.kill(p, func() {
		s.after(releaseTime, func() { s.restartMember(p, s.initialState, recoveryFromImage) })
	})
}

// loseMachine ends a member for good; a new one replaces it, with the state of its image or with none.
func (s *configurationSimulation) loseMachine(p *configurationProcess) {
	s.kill(p, func() {
		s.after(replacementTime, func() {
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

// failRack kills a rack's members in a random zone; they restart after rackOutage.
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

// restartHalf restarts every other member at once.
func (s *configurationSimulation) restartHalf() {
	for n, p := range slices.Clone(s.memberProcesses()) {
		if n%2 == 0 && p.isUp {
			s.kill(p, s.restartLater(p))
		}
	}
}

// corruptRelay makes a relay byzantine for a while.
func (s *configurationSimulation) corruptRelay() {
	p := s.randomMember()
	for n := 0; n < 1000 && p.member.ChildCount() < minRelayChildren; n++ {
		p = s.randomMember()
	}
	p.isByzantine = true
	s.after(byzantineTime, func() { p.isByzantine = false })
}

// pauseLeaseHolder pauses the lease holder until its lease has expired; it continues without checking the lease.
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

// restartControlNode kills a control node, which restarts after controlNodeOutage with what is on its disk.
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
