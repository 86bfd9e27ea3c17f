package emulator

import "time"

// unreachable as the time since when a process is reachable: it is isolated.
const unreachable = time.Duration(1 << 62)

// maxAgeUnderstatement is by how much an isolated member may understate the age of its state: what it heard last was that old,
// by the polls down the tree.
const maxAgeUnderstatement = 12 * time.Second

// partitionRegion cuts a region from all others for a while.
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

// partitionZone cuts a random zone from everything else for a while.
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

// partitionRegionPair cuts the leader's region and a random other one from each other; all stay reachable through the rest.
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

// markHealed measures recovery from now on, and checks the age that members report which were isolated since then.
func (s *configurationSimulation) markHealed(since time.Duration, isAffected func(*configurationProcess) bool) {
	for _, p := range s.processes {
		if !isAffected(p) || !p.isUp {
			continue
		}
		if p.member != nil && p.reachableSince == unreachable && p.member.Age(s.now) < s.now-since-maxAgeUnderstatement {
			s.checker.result.AgeUnderstated++
		}
		recovery := recoveryFromPartition
		if p.traffic.isStarting() {
			recovery = p.recovery
		}
		s.markReachable(p, recovery)
	}
}
