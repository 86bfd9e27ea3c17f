package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"thymechute/internal/decide/rollout"
)

const (
	rolloutLossTickInterval = time.Second
	memberCapacity          = 100
	capacityTolerance       = 1e-6
)

// RolloutMember is one member of the fleet in a RolloutLossScenario.
type RolloutMember struct {
	Zone              string
	IsVoter, IsLeader bool
	IsUpdated         bool // runs the new release from the start
	IsLost            bool // becomes unreachable in the loss
	IsUpdatedByLoss   bool // returns as another incarnation, with the new release, which is installed
}

// RolloutLossScenario is a rollout during which many members, such as a rack, a zone or a region, are lost at the same time and
// return after LossDuration. Meanwhile the load of all zones is multiplied by LoadShift.
type RolloutLossScenario struct {
	Members      []RolloutMember
	Limits       rollout.Limits
	DrainTime    time.Duration // from a drain to the restart
	LossAt       time.Duration
	LossDuration time.Duration
	Load         float64 // of each zone, as a fraction of its total capacity
	LoadShift    float64 // factor of the load during the loss
	MaxDuration  time.Duration
}

// RolloutLossFigures are the measurements of a RolloutLossScenario.
type RolloutLossFigures struct {
	Duration                time.Duration // until the rollout is done; 0 if it is not done by the end
	BlockedTime             time.Duration // during which no instance could be drained for lack of capacity in its zone
	Drains                  int
	DrainsDuringLoss        int
	DuplicateDrains         int
	DrainsBelowRequired     int // after which the zone could not lose its largest instance and keep its required capacity
	MaxVotersDraining       int
	MinCapacityOverRequired float64 // minimum of the capacity over the required one, in zones without a lost member
	MaxStuck                int     // instances stuck at the same time
	CompletedFraction       float64
	ResumeDelay             time.Duration // from the return of the lost members to the next drain, at least a tick; 0 if there was none
}

// rolloutLossRun is a RolloutLossScenario in progress.
type rolloutLossRun struct {
	RolloutLossScenario
	fleet         emulatedFleet
	usualLoad     map[string]float64 // by zone
	totalCapacity map[string]float64 // by zone
	losesMembers  map[string]bool    // by zone
	index         map[string]int     // position in fleet, by name
	rollout       *rollout.Rollout
	now           time.Duration
	figures       RolloutLossFigures
}

// RunRolloutLoss runs a scenario. It returns an error if the fleet lacks the capacity for a rollout.
func RunRolloutLoss(scenario RolloutLossScenario) (RolloutLossFigures, error) {
	s := newRolloutLossRun(scenario)
	if _, _, err := rollout.Plan(s.fleet.instancesAt(s.now), s.usualLoad, newRelease, s.Limits); err != nil {
		return s.figures, err
	}
	for ; s.now < s.MaxDuration && s.figures.Duration == 0; s.now += rolloutLossTickInterval {
		s.updateInstances()
		load, fleet := s.load(), s.fleet.instancesAt(s.now)
		step := s.rollout.Next(s.now, fleet, load, s.Limits)
		s.recordStep(step)
		for _, d := range step.Drain {
			s.drain(d, fleet, load)
		}
		s.measure()
	}
	s.figures.CompletedFraction = s.fleet.completedFraction()
	return s.figures, nil
}

func newRolloutLossRun(scenario RolloutLossScenario) *rolloutLossRun {
	s := &rolloutLossRun{
		RolloutLossScenario: scenario,
		usualLoad:           map[string]float64{},
		losesMembers:        map[string]bool{},
		index:               map[string]int{},
		rollout:             rollout.New(newRelease),
		figures:             RolloutLossFigures{MinCapacityOverRequired: math.Inf(1)},
	}
	for n, m := range s.Members {
		i := rollout.Instance{Name: fmt.Sprintf("instance-%04d", n), Zone: m.Zone, Release: oldRelease, Incarnation: 1,
			Capacity: memberCapacity, IsVoter: m.IsVoter, IsLeader: m.IsLeader}
		if m.IsUpdated {
			i.Release = newRelease
		}
		s.index[i.Name] = n
		s.usualLoad[i.Zone] += s.Load * i.Capacity
		s.losesMembers[i.Zone] = s.losesMembers[i.Zone] || m.IsLost
		s.fleet = append(s.fleet, &emulatedInstance{Instance: i, startedAt: -time.Hour})
	}
	s.totalCapacity = s.fleet.totalByZone()
	return s
}

func (s *rolloutLossRun) isDuringLoss() bool {
	return s.now >= s.LossAt && s.now < s.LossAt+s.LossDuration
}

// updateInstances restarts instances whose drain is over, and starts and ends the loss.
func (s *rolloutLossRun) updateInstances() {
	for n, i := range s.fleet {
		member := s.Members[n]
		isBack := member.IsLost && i.IsUnreachable && !s.isDuringLoss()
		if isBack && member.IsUpdatedByLoss {
			i.restart(s.now)
		}
		i.IsUnreachable = member.IsLost && s.isDuringLoss()
		if i.isDrainOver(s.now, s.DrainTime) {
			i.restart(s.now)
		}
	}
}

// load returns the current load by zone.
func (s *rolloutLossRun) load() map[string]float64 {
	if !s.isDuringLoss() || s.LoadShift == 1 {
		return s.usualLoad
	}
	load := map[string]float64{}
	for zone, usual := range s.usualLoad {
		load[zone] = usual * s.LoadShift
	}
	return load
}

// recordStep records the measurements of a step, and transfers the leadership if the step says so.
func (s *rolloutLossRun) recordStep(step rollout.Step) {
	f := &s.figures
	f.MaxStuck = max(f.MaxStuck, len(step.Stuck))
	if step.IsDone && !s.isDuringLoss() && s.now >= s.LossAt {
		f.Duration = s.now
	}
	if step.BlockedBy == rollout.BlockedByCapacity {
		f.BlockedTime += rolloutLossTickInterval
	}
	if step.TransferLeadership {
		s.fleet.setLeader(1)
	}
	sinceReturn := s.now - s.LossAt - s.LossDuration
	if sinceReturn >= 0 && len(step.Drain) > 0 && f.ResumeDelay == 0 {
		f.ResumeDelay = max(sinceReturn, rolloutLossTickInterval)
	}
}

// drain drains one instance, and marks it as draining in fleet, the leader's view.
func (s *rolloutLossRun) drain(d rollout.Instance, fleet []rollout.Instance, load map[string]float64) {
	isFirst := s.rollout.RecordDrain(s.now, d.Name, d.Incarnation)
	isRepeated := s.rollout.RecordDrain(s.now, d.Name, d.Incarnation) // as a second leader would; only the first counts
	if !isFirst || isRepeated {
		s.figures.DuplicateDrains++
		return
	}
	n := s.index[d.Name]
	s.fleet[n].drain(s.now)
	fleet[n].IsDraining = true
	s.figures.Drains++
	if s.isDuringLoss() {
		s.figures.DrainsDuringLoss++
	}
	if s.isBelowRequired(fleet, load, d.Zone) {
		s.figures.DrainsBelowRequired++
	}
}

// isBelowRequired reports whether a zone would be below its required capacity if it lost its largest available instance. It
// does not use package rollout, whose decisions it checks.
func (s *rolloutLossRun) isBelowRequired(fleet []rollout.Instance, load map[string]float64, zone string) bool {
	available, largest := 0.0, 0.0
	for _, i := range fleet {
		if i.Zone != zone || i.IsUnreachable || i.IsDraining {
			continue
		}
		available += i.Capacity * warmFraction(i.Age, s.Limits)
		largest = max(largest, i.Capacity)
	}
	required := max(s.Limits.MinCapacityFraction*s.totalCapacity[zone], s.Limits.LoadHeadroom*load[zone])
	return available-largest < required-capacityTolerance
}

func (s *rolloutLossRun) measure() {
	f := &s.figures
	f.MaxVotersDraining = max(f.MaxVotersDraining, s.fleet.drainingVoters())
	available := s.fleet.availableByZone(s.now, s.Limits)
	for zone, total := range s.totalCapacity {
		if !s.losesMembers[zone] {
			f.MinCapacityOverRequired = min(f.MinCapacityOverRequired, available[zone]/(s.Limits.MinCapacityFraction*total))
		}
	}
}

// SpreadVoters makes the given number of members voters, evenly spread, and the first voter the leader.
func SpreadVoters(members []RolloutMember, voters int) {
	for k := range voters {
		members[k*len(members)/voters].IsVoter = true
	}
	if first := slices.IndexFunc(members, func(m RolloutMember) bool { return m.IsVoter }); first >= 0 {
		members[first].IsLeader = true
	}
}
