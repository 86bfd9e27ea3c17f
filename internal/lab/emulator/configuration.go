// This file owns the emulated fleet on which configuration is tried: members in zones and regions, control machines over
// an agreed log, links with delay, loss and cuts. It decides nothing: internal/decide/configuration and owner do, by the
// same methods as on sockets. It must never look at real time, nor draw chance but from its seed.
//
// A day is compressed into Span: its changes, restarts and deaths come that much more often, while links, leases, polls
// and cuts keep their real times, so each figure is by the harder reading.

package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"thymechute/internal/decide/configuration"
	"thymechute/internal/decide/subset"
)

// ConfigurationDay is what a run plays.
type ConfigurationDay struct {
	Members, Regions, Zones     int // zones of all regions together
	Tenants, Routes             int
	Changes, Restarts, Deaths   int // of the day; restarts without the release's and those of the faults
	Span                        time.Duration
	controls, voters, inARack   int
	settle                      time.Duration
	regionCut, zoneCut, zoneOff time.Duration
}

// NewConfigurationDay is the plan's day at a size: 1,200 members have 4 regions of 10 zones, 60,000 tenants and 9,800
// routes, 2,500 changes, 5,400 restarts and 54 deaths; smaller sizes have less of each, in a shorter span.
func NewConfigurationDay(size int) ConfigurationDay {
	d := ConfigurationDay{Members: size, Regions: 4, Zones: 40, Span: 2 * time.Hour, controls: 6, voters: 5, inARack: 10,
		settle: time.Minute, regionCut: 5 * time.Minute, zoneCut: 3 * time.Minute, zoneOff: 2 * time.Minute}
	if size < 400 {
		d.Zones, d.Span = max(4, size/30), 12*time.Minute
		d.regionCut, d.zoneCut, d.zoneOff, d.inARack = time.Minute, 40*time.Second, 30*time.Second, 3
	}
	d.Tenants, d.Routes = 50*size, 9800*size/1200
	d.Changes = max(100, 2500*size/1200)
	d.Restarts, d.Deaths = 4800*size/1200, max(4, 54*size/1200)
	return d
}

// configurationProcess is one process, as its decision's Host.
type configurationProcess struct {
	s            *configurationSim
	n            int
	name         string
	region, zone int
	up, paused   bool
	lies         bool
	life         int
	member       *configuration.Member
	control      *configurationControl
	claim        subset.Claim

	last  configuration.Version // in force in this process
	fresh time.Duration         // when the state that it would start from was last confirmed
	since time.Duration         // from when on it counts as reachable
	goal  uint64                // counter of the version that was newest then
	done  bool                  // it has had that since
	cause configurationCause
	bytes configurationBytes
}

// configurationCause says why a process became reachable.
type configurationCause int

const (
	causeKept  configurationCause = iota // started from what it had in force before
	causeImage                           // started from the state that its image was built with
	causeEmpty                           // started from nothing
	causeHeal                            // a cut was healed
	causes
)

type configurationSim struct {
	day      ConfigurationDay
	r        *rand.Rand
	now      time.Duration
	events   configurationEvents
	net      configurationNet
	judge    configurationJudge
	log      configurationLog
	all      []*configurationProcess // control machines first
	byName   map[string]*configurationProcess
	zones    []*configurationZone
	first    *configuration.State
	names    []string // of the control machines
	tenants  int      // named so far
	waiting  []configurationChange
	killNext int // relays to be killed as they send
	scratch  []byte
	relays   []bool // by process: has had children
	peers    int
}

type configurationZone struct {
	name    string
	members []*configurationProcess // in the zone's view
	tree    map[string]configuration.Sources
}

// newConfigurationSim is a fleet that has had the day's first state for a while.
func newConfigurationSim(day ConfigurationDay, seed uint64) *configurationSim {
	s := &configurationSim{day: day, r: rand.New(rand.NewPCG(seed, 0xc0f1)), byName: map[string]*configurationProcess{}}
	s.first = s.firstState()
	s.judge.start(s.first)
	s.net.start(s)
	for n := range day.controls {
		p := s.add(fmt.Sprintf("control-%d", n), n%day.Regions, -1)
		s.names = append(s.names, p.name)
		p.control = newConfigurationControl(p)
	}
	for z := range day.Zones {
		s.zones = append(s.zones, &configurationZone{name: fmt.Sprintf("zone-%02d", z)})
	}
	for n := range day.Members {
		zone := n % day.Zones
		p := s.add(fmt.Sprintf("member-%04d", n), zone%day.Regions, zone)
		p.claim = subset.Claim{Name: p.name, Rank: -1, JoinEpoch: uint64(n)}
		s.zones[zone].members = append(s.zones[zone].members, p)
	}
	for _, z := range s.zones {
		s.plant(z)
		for _, p := range z.members {
			s.start(p, s.first, causeKept)
		}
	}
	for _, p := range s.all[:day.controls] {
		p.up = true
		s.tick(p)
	}
	s.every(configurationLogStep, s.logStep)
	s.every(configurationLogStep, s.operate)
	return s
}

func (s *configurationSim) add(name string, region, zone int) *configurationProcess {
	p := &configurationProcess{s: s, n: len(s.all), name: name, region: region, zone: zone}
	s.all, s.byName[name] = append(s.all, p), p
	s.relays = append(s.relays, false)
	return p
}

// plant settles a zone's ranks and its tree.
func (s *configurationSim) plant(z *configurationZone) {
	claims := make([]subset.Claim, len(z.members))
	for n, p := range z.members {
		claims[n] = p.claim
	}
	ranks := subset.AssignRanks(claims)
	for n, p := range z.members {
		p.claim.Rank, claims[n].Rank = ranks[p.name], ranks[p.name]
	}
	z.tree = configuration.Tree(z.name, claims, s.names)
}

// start begins a process of a member with a state.
func (s *configurationSim) start(p *configurationProcess, state *configuration.State, cause configurationCause) {
	p.life++
	p.up, p.paused, p.lies = true, false, false
	p.last = state.Version()
	if cause != causeKept {
		p.fresh = 0
	}
	p.member = configuration.NewMember(s.now, p, state, s.now-p.fresh, s.r.Uint64())
	p.member.SetSources(s.now, s.zones[p.zone].tree[p.name])
	p.bytes.begin(s.now)
	s.reachableAgain(p, cause)
	s.tickAfter(s.jitter(configuration.TickInterval), p)
}

// tick lets a process do what is due, as long as it lives.
func (s *configurationSim) tick(p *configurationProcess) {
	if !p.paused && p.member != nil {
		p.member.Tick(s.now)
		s.relays[p.n] = s.relays[p.n] || p.member.Children() > 0
	}
	if !p.paused && p.control != nil {
		p.control.Tick(s.now)
		s.peers = max(s.peers, p.control.Children())
	}
	s.tickAfter(configuration.TickInterval, p)
}

// reachableAgain counts from now on what the process is owed.
func (s *configurationSim) reachableAgain(p *configurationProcess, cause configurationCause) {
	if s.net.cutOff(p) {
		p.since, p.cause, p.done = never, cause, true
		return
	}
	p.since, p.cause, p.done, p.goal = s.now, cause, false, s.judge.head()
	s.judge.caughtUp(p, s.now)
}

func (s *configurationSim) jitter(span time.Duration) time.Duration {
	return time.Duration(s.r.Float64() * float64(span))
}

// Send makes a process the Host of its decision.
func (p *configurationProcess) Send(to string, m configuration.Message) {
	if q := p.s.byName[to]; q != nil {
		p.s.send(p, q, m)
	}
}

// Activated is judged at once. A relay may be killed now, in the middle of sending it on.
func (p *configurationProcess) Activated(now time.Duration, state *configuration.State) {
	s := p.s
	s.judge.inForce(p, now, state)
	if p.member != nil && s.killNext > 0 && p.member.Children() > 2 {
		s.killNext--
		s.judge.figures.RelaysKilled++
		s.after(0, func() { s.kill(p, s.restartLater(p)) })
	}
}

// received hands a message to a process.
func (p *configurationProcess) received(from string, m configuration.Message) {
	var err error
	if p.member != nil {
		err = p.member.Receive(p.s.now, from, m)
	} else {
		err = p.control.Receive(p.s.now, from, m)
	}
	if err != nil {
		p.s.judge.figures.Refused++
	}
}
