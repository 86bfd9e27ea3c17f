package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/subset"
)

// initialSettleTime is how long a simulation runs before its scenario starts, so that leases are granted and the times of
// polls are spread out.
const initialSettleTime = 20 * time.Second

// RunConfiguration simulates the distribution of configuration during a scenario. It returns the measurements at the end,
// when all partitions have healed and the scenario's settling time has passed. The same scenario and seed give the same
// result.
//
// The decisions are those of the packages decide/configuration and decide/lease. The changes, restarts and failures of a day
// are compressed into the scenario's duration and thus occur more often than in a real day, while links, leases, polls and
// partitions keep their real times. Each figure is therefore measured under harder conditions than the real ones.
func RunConfiguration(scenario ConfigurationScenario, seed uint64) ConfigurationResult {
	s := newConfigurationSimulation(scenario, seed)
	s.runUntil(initialSettleTime)
	s.scheduleScenario()
	s.runUntil(initialSettleTime + scenario.Duration)
	s.runUntil(initialSettleTime + scenario.Duration + scenario.settleTime)
	return s.checker.finish(s)
}

// configurationSimulation is an emulated fleet: members in zones and regions, control nodes with a replicated log, and links
// with delay, loss and partitions. It reads no clock; all random numbers come from the seed.
type configurationSimulation struct {
	scenario          ConfigurationScenario
	random            *rand.Rand
	now               time.Duration
	events            configurationEventQueue
	network           configurationNetwork
	checker           configurationChecker
	log               configurationLog
	processes         []*configurationProcess // the control nodes first
	byName            map[string]*configurationProcess
	zones             []*configurationZone
	initialState      *configuration.State
	controlNames      []string
	lastTenant        int // number of the newest tenant
	pendingChanges    []configurationChange
	pendingRelayKills int // relays still to be killed while they push a new state
	encodeBuffer      []byte
	maxControlPeers   int
}

// configurationZone holds a zone's view of its members and the distribution tree computed from it.
type configurationZone struct {
	name    string
	members []*configurationProcess
	tree    map[string]configuration.Sources
}

// newConfigurationSimulation returns a fleet in which all members have the initial state.
func newConfigurationSimulation(scenario ConfigurationScenario, seed uint64) *configurationSimulation {
	s := &configurationSimulation{
		scenario:     scenario,
		random:       rand.New(rand.NewPCG(seed, 0xc0f1)),
		byName:       map[string]*configurationProcess{},
		initialState: initialConfiguration(scenario),
		lastTenant:   scenario.Tenants,
	}
	s.checker = newConfigurationChecker(s.initialState)
	s.network = newConfigurationNetwork(scenario, s.random)
	s.addControlNodes()
	s.addMembers()
	for _, p := range s.controlProcesses() {
		p.isUp = true
		s.tickProcess(p)
	}
	s.every(configurationLogInterval, s.tickLog)
	s.every(configurationLogInterval, s.submitPendingChange)
	return s
}

func (s *configurationSimulation) addControlNodes() {
	for n := range s.scenario.controlNodes {
		p := s.addProcess(fmt.Sprintf("control-%d", n), n%s.scenario.Regions, noZone)
		s.controlNames = append(s.controlNames, p.name)
		p.control = newConfigurationControlNode(p)
	}
}

func (s *configurationSimulation) addMembers() {
	for n := range s.scenario.Zones {
		s.zones = append(s.zones, &configurationZone{name: fmt.Sprintf("zone-%02d", n)})
	}
	for n := range s.scenario.Members {
		zone := n % s.scenario.Zones
		p := s.addProcess(fmt.Sprintf("member-%04d", n), zone%s.scenario.Regions, zone)
		p.claim = subset.Claim{Name: p.name, Rank: -1, JoinEpoch: uint64(n)}
		s.zones[zone].members = append(s.zones[zone].members, p)
	}
	for _, z := range s.zones {
		s.rebuildTree(z)
		for _, p := range z.members {
			s.startMember(p, s.initialState, recoveryFromSnapshot)
		}
	}
}

func (s *configurationSimulation) addProcess(name string, region, zone int) *configurationProcess {
	p := &configurationProcess{simulation: s, index: len(s.processes), name: name, region: region, zone: zone}
	s.processes = append(s.processes, p)
	s.byName[name] = p
	return p
}

func (s *configurationSimulation) controlProcesses() []*configurationProcess {
	return s.processes[:s.scenario.controlNodes]
}

func (s *configurationSimulation) memberProcesses() []*configurationProcess {
	return s.processes[s.scenario.controlNodes:]
}

// rebuildTree assigns the ranks of a zone's members and computes its distribution tree.
func (s *configurationSimulation) rebuildTree(z *configurationZone) {
	claims := make([]subset.Claim, len(z.members))
	for n, p := range z.members {
		claims[n] = p.claim
	}
	ClaimAssignedRanks(claims)
	for n, p := range z.members {
		p.claim = claims[n]
	}
	z.tree = configuration.DistributionTree(z.name, claims, s.controlNames)
}

func (s *configurationSimulation) jitter(span time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(span))
}
