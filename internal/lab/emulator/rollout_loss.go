package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"thymechute/internal/decide/rollout"
)

const (
	rolloutLossTick    = time.Second
	lossMemberCapacity = 100
	capacityTolerance  = 1e-6
)

// RolloutMember is one member of the fleet in a RolloutLossScenario.
type RolloutMember struct {
	Zone              string
	IsVoter, IsLeader bool
	IsUpdated         bool // runs the new release already
	IsLost            bool // by the loss
	IsUpdatedByLoss   bool // comes back as another incarnation with the new release, which is installed
}

// RolloutLossScenario is a rollout through the simultaneous loss of many members, such as a rack, a zone or a region, that come
// back after a while. Meanwhile the load of all others is multiplied.
type RolloutLossScenario struct {
	Members      []RolloutMember
	Limits       rollout.Limits
	DrainTime    time.Duration // from a drain to the restart
	LossAt       time.Duration
	LossDuration time.Duration
	Load         float64 // of each zone, as a fraction of its total capacity
	LoadShift    float64 // factor on the load during the loss
	MaxDuration  time.Duration
}

// RolloutLossFigures are the results of a RolloutLossScenario.
type RolloutLossFigures struct {
	Duration                time.Duration // until no instance is left to drain; 0 if not by the end
	BlockedTime             time.Duration // for lack of a zone's capacity
	Drains                  int
	DrainsDuringLoss        int
	DuplicateDrains         int
	DrainsBelowRequired     int // that left their zone below its requirement with its largest instance lost
	MaxVotersDraining       int
	MinCapacityOverRequired float64 // of the zones without a lost member, over the required part of the total
	MaxStuck                int     // instances stuck at the same time
	CompletedFraction       float64
	ResumeDelay             time.Duration // from the members' return to the next drain; 0 if none was left
}

// rolloutLossRun is a RolloutLossScenario in progress.
type rolloutLossRun struct {
	RolloutLossScenario
	fleet     emulatedFleet
	usualLoad map[string]float64 // by zone
	total     map[string]float64 // capacity by zone
	isHit     map[string]bool    // zones that lose members
	index     map[string]int     // by name in fleet
	rollout   *rollout.Rollout
	now       time.Duration
	figures   RolloutLossFigures
}

// RunRolloutLoss runs a scenario. It returns an error if the fleet lacks the capacity for a rollout.
func RunRolloutLoss(scenario RolloutLossScenario) (RolloutLossFigures, error) {
	s := newRolloutLossRun(scenario)
	if _, _, err := rollout.Plan(s.fleet.instancesAt(s.now), s.usualLoad, newRelease, s.Limits); err != nil {
		return s.figures, err
	}
	for ; s.now < s.MaxDuration && s.figures.Duration == 0; s.now += rolloutLossTick {
		s.updateInstances()
		load, fleet := s.load(), s.fleet.instancesAt(s.now)
		step := s.rollout.Next(s.now, fleet, load, s.Limits)
		s.observe(step)
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
		isHit:               map[string]bool{},
		index:               map[string]int{},
		rollout:             rollout.New(newRelease),
		figures:             RolloutLossFigures{MinCapacityOverRequired: math.Inf(1)},
	}
	for n, m := range s.Members {
		i := rollout.Instance{Name: fmt.Sprintf("instance-%04d", n), Zone: m.Zone, Release: oldRelease, Incarnation: 1,
			Capacity: lossMemberCapacity, IsVoter: m.IsVoter, IsLeader: m.IsLeader}
		if m.IsUpdated {
			i.Release = newRelease
		}
		s.index[i.Name] = n
		s.usualLoad[i.Zone] += s.Load * i.Capacity
		s.isHit[i.Zone] = s.isHit[i.Zone] || m.IsLost
		s.fleet = append(s.fleet, &emulatedInstance{Instance: i, startedAt: -time.Hour})
	}
	s.total = s.fleet.totalByZone()
	return s
}

func (s *rolloutLossRun) isDuringLoss() bool {
	return s.now >= s.LossAt && s.now < s.LossAt+s.LossDuration
}

// updateInstances ends drains, and starts and ends the loss.
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

// load is each zone's load now.
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

// observe notes what a step says, and transfers the leadership if it asks for that.
func (s *rolloutLossRun) observe(step rollout.Step) {
	f := &s.figures
	f.MaxStuck = max(f.MaxStuck, len(step.Stuck))
	if step.IsDone && !s.isDuringLoss() && s.now >= s.LossAt {
		f.Duration = s.now
	}
	if step.BlockedBy == rollout.BlockedByCapacity {
		f.BlockedTime += rolloutLossTick
	}
	if step.TransferLeadership {
		s.fleet.setLeader(1)
	}
	sinceReturn := s.now - s.LossAt - s.LossDuration
	if sinceReturn >= 0 && len(step.Drain) > 0 && f.ResumeDelay == 0 {
		f.ResumeDelay = max(sinceReturn, rolloutLossTick)
	}
}

// drain drains one instance, also in the leader's view of the fleet.
func (s *rolloutLossRun) drain(d rollout.Instance, fleet []rollout.Instance, load map[string]float64) {
	isFirst := s.rollout.RecordDrain(s.now, d.Name, d.Incarnation)
	isRepeated := s.rollout.RecordDrain(s.now, d.Name, d.Incarnation) // as a second leader would: the log takes one
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

// isBelowRequired sums a zone up on its own, independently of package rollout.
func (s *rolloutLossRun) isBelowRequired(fleet []rollout.Instance, load map[string]float64, zone string) bool {
	available, largest := 0.0, 0.0
	for _, i := range fleet {
		if i.Zone != zone || i.IsUnreachable || i.IsDraining {
			continue
		}
		available += i.Capacity * warmFraction(i.Age, s.Limits)
		largest = max(largest, i.Capacity)
	}
	required := max(s.Limits.MinCapacityFraction*s.total[zone], s.Limits.LoadHeadroom*load[zone])
	return available-largest < required-capacityTolerance
}

func (s *rolloutLossRun) measure() {
	f := &s.figures
	f.MaxVotersDraining = max(f.MaxVotersDraining, s.fleet.drainingVoters())
	available := s.fleet.availableByZone(s.now, s.Limits)
	for zone, total := range s.total {
		if !s.isHit[zone] {
			f.MinCapacityOverRequired = min(f.MinCapacityOverRequired, available[zone]/(s.Limits.MinCapacityFraction*total))
		}
	}
}

// SpreadVoters makes that many members voters, evenly spread, and the first voter the leader.
func SpreadVoters(members []RolloutMember, voters int) {
	for k := range voters {
		members[k*len(members)/voters].IsVoter = true
	}
	if first := slices.IndexFunc(members, func(m RolloutMember) bool { return m.IsVoter }); first >= 0 {
		members[first].IsLeader = true
	}
}
