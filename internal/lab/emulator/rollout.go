package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"thymechute/internal/decide/rollout"
)

// Parameters of an emulated rollout.
const (
	rolloutTickInterval  = 100 * time.Millisecond
	rolloutMaxDuration   = 2 * time.Hour
	rolloutDrainTime     = 3 * time.Second
	instanceOutage       = 10 * time.Second
	ticksPerStep         = 10
	ticksPerFailure      = 600
	firstFailureTick     = 300
	ticksPerLeaderChange = 250
	loadPeakStart        = 40 * time.Second
	loadPeakEnd          = 70 * time.Second
	loadPeakFactor       = 1.5
	usualLoadFraction    = 0.6
	infeasibleFraction   = 0.999 // required capacity as a fraction of the total, which no zone can keep during a rollout
	rolloutRandomStream  = 0x6011
)

// RolloutScenario is a rollout in a fleet of instances in zones. With faults, every minute one instance of each zone fails and
// returns, the load has a peak, and the leader changes during waves.
type RolloutScenario struct {
	Instances, Zones int
	Seed             uint64
	WithFaults       bool
}

// RolloutFigures are the measurements of a rollout.
type RolloutFigures struct {
	CompletedFraction       float64 // of the instances, those that run the new release at the end
	Waves, MinWaves         int     // of the plan before the rollout starts, and the lower bound
	MinCapacityOverRequired float64 // minimum of a zone's capacity over the required capacity at the usual load
	MinCapacityOverLoad     float64 // minimum of a zone's capacity over its current load, the peak included
	DuplicateDrains         int
	MaxVotersDraining       int
	Duration                time.Duration
	IsInfeasibleRejected    bool // a plan that cannot keep its required capacity was rejected before any drain
}

// rolloutRun is a scenario in progress.
type rolloutRun struct {
	RolloutScenario
	limits        rollout.Limits
	random        *rand.Rand
	fleet         emulatedFleet
	totalCapacity map[string]float64 // by zone
	usualLoad     map[string]float64 // by zone
	rollout       *rollout.Rollout
	downUntil     map[string]time.Duration // by name of a failed instance
	now           time.Duration
	figures       RolloutFigures
}

// RunRollout runs a scenario. It returns an error if the fleet lacks the capacity for a rollout.
func RunRollout(scenario RolloutScenario) (RolloutFigures, error) {
	s := newRolloutRun(scenario)
	if err := s.measurePlan(); err != nil {
		return s.figures, err
	}
	for isDone := false; s.now < rolloutMaxDuration && !isDone; s.now += rolloutTickInterval {
		isDone = s.tick(int(s.now / rolloutTickInterval))
	}
	s.figures.CompletedFraction = s.fleet.completedFraction()
	return s.figures, nil
}

func newRolloutRun(scenario RolloutScenario) *rolloutRun {
	s := &rolloutRun{
		RolloutScenario: scenario,
		limits: rollout.Limits{MinCapacityFraction: 0.6, LoadHeadroom: 1.05, MaxUnavailable: max(scenario.Instances/8, scenario.Zones),
			ReplaceTimeout: time.Minute, InitialCapacityFraction: 0.2, WarmUpTime: 16 * time.Second},
		random:    rand.New(rand.NewPCG(scenario.Seed, rolloutRandomStream)),
		usualLoad: map[string]float64{},
		rollout:   rollout.New(newRelease),
		downUntil: map[string]time.Duration{},
		figures:   RolloutFigures{MinCapacityOverRequired: math.Inf(1), MinCapacityOverLoad: math.Inf(1)},
	}
	for n := range s.Instances {
		i := s.newInstance(n)
		s.fleet = append(s.fleet, i)
		s.usualLoad[i.Zone] += usualLoadFraction * i.Capacity
	}
	s.totalCapacity = s.fleet.totalByZone()
	return s
}

// newInstance returns the n-th instance. A third of the instances has a larger capacity than the others.
func (s *rolloutRun) newInstance(n int) *emulatedInstance {
	const voters = 5
	capacity := 100.0
	if n/s.Zones%3 == 0 {
		capacity = 130
	}
	return &emulatedInstance{
		Instance: rollout.Instance{Name: fmt.Sprintf("m%d", n), Zone: fmt.Sprintf("z%d", n%s.Zones), Release: oldRelease, Incarnation: 1,
			Capacity: capacity, IsVoter: n < voters, IsLeader: n == 0},
		startedAt: -time.Hour,
	}
}

// measurePlan records the number of waves of the plan, and whether a plan with an infeasible requirement is rejected.
func (s *rolloutRun) measurePlan() error {
	waves, minWaves, err := rollout.Plan(s.fleet.instancesAt(s.now), s.usualLoad, newRelease, s.limits)
	if err != nil {
		return err
	}
	s.figures.Waves, s.figures.MinWaves = len(waves), minWaves
	infeasible := s.limits
	infeasible.MinCapacityFraction = infeasibleFraction
	_, _, err = rollout.Plan(s.fleet.instancesAt(s.now), s.usualLoad, newRelease, infeasible)
	s.figures.IsInfeasibleRejected = err != nil
	return nil
}

// tick simulates one tick and reports whether the rollout is done.
func (s *rolloutRun) tick(tick int) (isDone bool) {
	if s.WithFaults && tick%ticksPerFailure == firstFailureTick {
		s.failOneOfEachZone()
	}
	if s.WithFaults && tick%ticksPerLeaderChange == ticksPerLeaderChange-1 { // during a wave; the new leader continues from the log
		s.fleet.setLeader(s.random.IntN(s.Instances))
	}
	s.restartInstances()
	load := s.load()
	if tick%ticksPerStep == 0 && s.step(load) {
		s.figures.Duration = s.now
		return true
	}
	s.measure(load)
	return false
}

func (s *rolloutRun) failOneOfEachZone() {
	for z := range s.Zones {
		var available emulatedFleet
		for _, i := range s.fleet {
			if i.Zone == fmt.Sprintf("z%d", z) && i.isAvailable() {
				available = append(available, i)
			}
		}
		failed := available[s.random.IntN(len(available))]
		failed.IsUnreachable = true
		s.downUntil[failed.Name] = s.now + instanceOutage
	}
}

// load returns the current load by zone.
func (s *rolloutRun) load() map[string]float64 {
	if !s.WithFaults || s.now < loadPeakStart || s.now >= loadPeakEnd {
		return s.usualLoad
	}
	load := map[string]float64{}
	for zone, usual := range s.usualLoad {
		load[zone] = loadPeakFactor * usual
	}
	return load
}

// restartInstances restarts instances whose outage or drain is over, with the new release, which is installed.
func (s *rolloutRun) restartInstances() {
	for _, i := range s.fleet {
		downUntil := s.downUntil[i.Name]
		switch {
		case i.IsUnreachable && downUntil != 0 && s.now >= downUntil:
			delete(s.downUntil, i.Name)
			i.restart(s.now)
			i.IsUnreachable = false
		case i.isDrainOver(s.now, rolloutDrainTime):
			i.restart(s.now)
		}
	}
}

// step executes the next step of the rollout, and reports whether the rollout is done.
func (s *rolloutRun) step(load map[string]float64) (isDone bool) {
	step := s.rollout.Next(s.now, s.fleet.instancesAt(s.now), load, s.limits)
	for _, d := range step.Drain {
		if !s.rollout.RecordDrain(s.now, d.Name, d.Incarnation) {
			continue
		}
		s.rollout.RecordDrain(s.now, d.Name, d.Incarnation) // as a second leader would; only the first counts
		at := slices.IndexFunc(s.fleet, func(i *emulatedInstance) bool { return i.Name == d.Name })
		s.fleet[at].drain(s.now)
		if s.fleet[at].drains > 1 {
			s.figures.DuplicateDrains++
		}
	}
	if step.TransferLeadership {
		s.fleet.setLeader(1)
	}
	return step.IsDone
}

func (s *rolloutRun) measure(load map[string]float64) {
	f := &s.figures
	f.MaxVotersDraining = max(f.MaxVotersDraining, s.fleet.drainingVoters())
	available := s.fleet.availableByZone(s.now, s.limits)
	for zone, total := range s.totalCapacity {
		required := max(s.limits.MinCapacityFraction*total, s.limits.LoadHeadroom*s.usualLoad[zone])
		f.MinCapacityOverRequired = min(f.MinCapacityOverRequired, available[zone]/required)
		f.MinCapacityOverLoad = min(f.MinCapacityOverLoad, available[zone]/load[zone])
	}
}
