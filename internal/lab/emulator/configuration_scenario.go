package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
)

// ConfigurationScenario is the size of a simulated fleet and what happens to it.
type ConfigurationScenario struct {
	Members, Regions, Zones int // zones of all regions together
	Tenants, Routes         int
	Changes                 int
	Restarts                int // besides those of the release and of other faults
	MachineLosses           int
	Duration                time.Duration
	OnStart                 ConfigurationStartHooks

	controlNodes, voters, rackSize             int
	settleTime                                 time.Duration // after the scenario
	regionPartition, zonePartition, zoneOutage time.Duration // how long each lasts
}

// ConfigurationStartHooks are called with each store and each member that is created, before it receives anything; nil for
// none.
type ConfigurationStartHooks struct {
	Store  func(*configuration.Store)
	Member func(*configuration.Member)
}

// Sizes of the planned day, which smaller scenarios scale down.
const (
	plannedMembers       = 1200
	plannedZones         = 40
	plannedRoutes        = 9800
	plannedChanges       = 2500
	plannedRestarts      = 4800 // 5,400 with the release's
	plannedMachineLosses = 54
	tenantsPerMember     = 50
	minFullScaleMembers  = 400 // smaller scenarios are shorter
)

// NewConfigurationScenario is the planned day at a number of members: 1,200 have 4 regions with 40 zones, 60,000 tenants and
// 9,800 routes, 2,500 changes, 5,400 restarts and 54 machine losses in two hours. Fewer members have less of each, and under
// 400 members in 12 minutes.
func NewConfigurationScenario(members int) ConfigurationScenario {
	c := ConfigurationScenario{
		Members:         members,
		Regions:         4,
		Zones:           plannedZones,
		Tenants:         tenantsPerMember * members,
		Routes:          plannedRoutes * members / plannedMembers,
		Changes:         max(100, plannedChanges*members/plannedMembers),
		Restarts:        plannedRestarts * members / plannedMembers,
		MachineLosses:   max(4, plannedMachineLosses*members/plannedMembers),
		Duration:        2 * time.Hour,
		controlNodes:    6,
		voters:          5,
		rackSize:        10,
		settleTime:      time.Minute,
		regionPartition: 5 * time.Minute,
		zonePartition:   3 * time.Minute,
		zoneOutage:      2 * time.Minute,
	}
	if members < minFullScaleMembers {
		c.Zones = max(4, members/30)
		c.Duration = 12 * time.Minute
		c.rackSize = 3
		c.regionPartition, c.zonePartition, c.zoneOutage = time.Minute, 40*time.Second, 30*time.Second
	}
	return c
}

// scheduleScenario schedules all changes and faults. Times are fractions of the scenario's duration.
func (s *configurationSimulation) scheduleScenario() {
	c := s.scenario
	s.scheduleRandomly(c.Changes, 0, 1, s.requestChange)
	s.scheduleRandomly(c.Restarts, 0, 1, s.killRandomMember)
	s.scheduleRandomly(c.MachineLosses, 0, 0.9, func() { s.loseMachine(s.randomMember()) })
	s.scheduleRandomly(c.Members/2, 0.4, 0.9, func() { s.release(s.randomMember()) })
	s.scheduleRandomly(20, 0, 0.95, func() { s.pendingRelayKills++ })
	s.scheduleRandomly(4, 0, 0.9, s.corruptRelay)
	for _, fraction := range []float64{0.12, 0.5, 0.66, 0.86} {
		s.scheduleAt(fraction, s.pauseLeaseHolder)
	}
	s.scheduleAt(0.10, s.failRack)
	s.scheduleAt(0.18, s.partitionZone)
	s.scheduleAt(0.25, func() { s.restartControlNode(s.log.leader) })
	s.scheduleAt(0.30, func() { s.partitionRegion(s.random.IntN(c.Regions)) })
	s.scheduleAt(0.43, s.partitionRegionPair)
	s.scheduleAt(0.55, func() { s.partitionRegion(s.processes[s.log.leader].region) })
	s.scheduleAt(0.68, s.failZone)
	s.scheduleAt(0.72, func() { s.restartControlNode(s.random.IntN(c.controlNodes)) })
	s.scheduleAt(0.78, s.restartHalf)
}

// scheduleRandomly schedules an action count times, at random times between two fractions of the duration.
func (s *configurationSimulation) scheduleRandomly(count int, from, to float64, action func()) {
	duration := float64(s.scenario.Duration)
	for range count {
		s.after(time.Duration((from+s.random.Float64()*(to-from))*duration), action)
	}
}

// scheduleAt schedules an action at a fraction of the duration.
func (s *configurationSimulation) scheduleAt(fraction float64, action func()) {
	s.after(time.Duration(fraction*float64(s.scenario.Duration)), action)
}
