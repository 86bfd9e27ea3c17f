package emulator

import "time"

// unreachable is the value of reachableSince while a process is isolated.
const unreachable = time.Duration(1 << 62)

// maxAgeUnderstatement is the tolerance for the age that an isolated member reports: it may be below the duration of the
// isolation by as much as information ages while it passes down the tree by polls.
const maxAgeUnderstatement = 12 * time.Second

// partitionRegion cuts a region off from all others for the scenario's regionPartition.
func (s *configurationSimulation) partitionRegion(region int) {
	since := s.now
	isAffected := func(p *configurationProcess) bool { return p.region == region }
	s.network.setRegionLinks(region, linkCut)
	s.markUnreachable(isAffected)
	s.after(s.scenario.regionPartition, func() {
		s.network.setRegionLinks(region, linkUp)
		s.markHealed(since, isAffected)
	})
}

// partitionZone cuts a random zone off from everything else for the scenario's zonePartition.
func (s *configurationSimulation) partitionZone() {
	since, zone := s.now, s.random.IntN(len(s.zones))
	isAffected := func(p *configurationProcess) bool { return p.zone == zone }
	s.network.zoneCut[zone] = true
	s.markUnreachable(isAffected)
	s.after(s.scenario.zonePartition, func() {
		s.network.zoneCut[zone] = false
		s.markHealed(since, isAffected)
	})
}

// partitionRegionPair cuts the link between the leader's region and a random other one for the scenario's zonePartition. Both
// regions still reach all others.
func (s *configurationSimulation) partitionRegionPair() {
	a := s.leader().region
	b := (a + 1 + s.random.IntN(s.scenario.Regions-1)) % s.scenario.Regions
	s.network.setLink(a, b, linkCut)
	s.after(s.scenario.zonePartition, func() { s.network.setLink(a, b, linkUp) })
}

func (s *configurationSimulation) markUnreachable(isAffected func(*configurationProcess) bool) {
	for _, p := range s.processes {
		if isAffected(p) {
			p.reachableSince, p.isCaughtUp = unreachable, true
		}
	}
}

// markHealed starts to measure the recovery of the processes, and checks the age that members report if they were isolated
// since the given time.
func (s *configurationSimulation) markHealed(since time.Duration, isAffected func(*configurationProcess) bool) {
	for _, p := range s.processes {
		if !isAffected(p) || !p.isUp {
			continue
		}
		if p.member != nil && p.reachableSince == unreachable && p.member.Age(s.now) < s.now-since-maxAgeUnderstatement {
			s.checker.result.AgeUnderstated++
		}
		recovery := recoveryFromPartition
		if p.traffic.isCatchingUp() {
			recovery = p.recovery
		}
		s.markReachable(p, recovery)
	}
}
