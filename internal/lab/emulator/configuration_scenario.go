package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
)

// ConfigurationScenario is the size of a simulated fleet and the number of changes and faults that it goes through.
type ConfigurationScenario struct {
	Members, Regions, Zones int // Zones is the number in all regions together
	Tenants, Routes         int
	Changes                 int
	Restarts                int // in addition to those of the release and of other faults
	MachineLosses           int
	Duration                time.Duration
	OnStart                 ConfigurationStartHooks

	controlNodes, voters, rackSize             int
	settleTime                                 time.Duration // after the scenario
	regionPartition, zonePartition, zoneOutage time.Duration // how long each lasts
}

// ConfigurationStartHooks are called with each store and each member after it is created and before it receives anything. A
// hook may be nil.
type ConfigurationStartHooks struct {
	Store  func(*configuration.Store)
	Member func(*configuration.Member)
}

// Sizes of the reference scenario, one day of the planned fleet of 1,200 members. NewConfigurationScenario scales them by the
// number of members.
const (
	referenceMembers       = 1200
	referenceZones         = 40
	referenceRoutes        = 9800
	referenceChanges       = 2500
	referenceRestarts      = 4800 // 5,400 with those of the release
	referenceMachineLosses = 54
	tenantsPerMember       = 50
	minFullScaleMembers    = 400 // smaller scenarios are shorter and have fewer zones
)

// NewConfigurationScenario returns the reference scenario for a number of members: with 1,200 members, 4 regions with 40
// zones, 60,000 tenants, 9,800 routes, 2,500 changes, 5,400 restarts and 54 machine losses in two hours. With fewer members
// there are fewer tenants, routes, changes, restarts and machine losses; below 400 members there are also fewer zones, the
// scenario takes 12 minutes, and outages and partitions are shorter.
func NewConfigurationScenario(members int) ConfigurationScenario {
	c := ConfigurationScenario{
		Members:         members,
		Regions:         4,
		Zones:           referenceZones,
		Tenants:         tenantsPerMember * members,
		Routes:          referenceRoutes * members / referenceMembers,
		Changes:         max(100, referenceChanges*members/referenceMembers),
		Restarts:        referenceRestarts * members / referenceMembers,
		MachineLosses:   max(4, referenceMachineLosses*members/referenceMembers),
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

// scheduleScenario schedules all changes and faults, at fractions of the scenario's duration.
func (s *configurationSimulation) scheduleScenario() {
	c := s.scenario
	s.scheduleRandomly(c.Changes, 0, 1, s.requestChange)
	s.scheduleRandomly(c.Restarts, 0, 1, s.killRandomMember)
	s.scheduleRandomly(c.MachineLosses, 0, 0.9, func() { s.loseMachine(s.randomMember()) })
	s.scheduleRandomly(c.Members/2, 0.4, 0.9, func() { s.updateMember(s.randomMember()) })
	s.scheduleRandomly(20, 0, 0.95, func() { s.pendingRelayKills++ })
	s.scheduleRandomly(4, 0, 0.9, s.makeRelayByzantine)
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
