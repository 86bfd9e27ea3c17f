// Package rollout decides in which order instances are drained for a rollout to a new release, so that no zone's capacity
// drops below its required minimum. Plan checks beforehand that a rollout is feasible; Rollout.Next decides each drain by
// the state of the fleet at that time.
//
// The package does no I/O, reads no clock, starts no goroutine and draws no random numbers. The leader of the rollout runs
// it. Each drain is an entry of the replicated log, so the next leader continues where the previous one stopped. A Rollout
// holds one entry per drained process, at most MaxInstances, all removed when the release changes. It is not safe for
// concurrent use.
package rollout

import (
	"fmt"
	"time"
)

// MaxInstances is the maximum number of processes that a Rollout drains.
const MaxInstances = 10000

// maxAttempts is how often an instance is drained for one release. One that then restarts with another release is stuck.
const maxAttempts = 1

// Rollout is the replicated state of the rollout in progress.
type Rollout struct {
	Release  string                    // the release that all instances should run; "" for none
	drained  map[process]time.Duration // time of the drain by the local clock
	attempts map[string]int            // number of drains by instance name, for this release
}

// process is one incarnation of a named instance.
type process struct {
	name        string
	incarnation uint64
}

// New returns a rollout of a release; "" for none.
func New(release string) *Rollout {
	return &Rollout{Release: release, drained: map[process]time.Duration{}, attempts: map[string]int{}}
}

// SetRelease changes the release to roll out, for example back to the old one. Processes that have already been drained
// still end. All instances that run another release are drained.
func (r *Rollout) SetRelease(release string) {
	if release != r.Release {
		*r = *New(release)
	}
}

// RecordDrain applies the log entry that drains a process. It returns false, and the process must not be drained, if this
// or an earlier leader has already drained it or if MaxInstances have been drained.
func (r *Rollout) RecordDrain(now time.Duration, name string, incarnation uint64) bool {
	p := process{name, incarnation}
	if _, isDuplicate := r.drained[p]; isDuplicate || len(r.drained) >= MaxInstances {
		return false
	}
	r.drained[p] = now
	r.attempts[name]++
	return true
}

// BlockCause is the reason why a Step drains no instance.
type BlockCause uint8

// The causes for which a rollout is blocked.
const (
	NotBlocked           BlockCause = iota
	BlockedByReplacement            // instances that are being replaced must be back first
	BlockedByCapacity               // a zone cannot spare the capacity of an instance
	BlockedByInstance               // another voter is unavailable, a slot migration waits for the instance, or it is the leader
)

// Step is what the leader does next.
type Step struct {
	Drain         []Instance // instances to drain, each by an entry proposed to the log
	BlockedBy     BlockCause // NotBlocked if the step drains instances, transfers the leadership or IsDone
	BlockedReason string     // BlockedBy in one line for operators; "" if NotBlocked
	Stuck         []string   // instances drained longer than ReplaceTimeout ago, or restarted with another release
	// TransferLeadership reports that only the leader remains to be drained: it resigns, and the next leader drains it.
	TransferLeadership bool
	IsDone             bool // no instance remains to be drained or is being replaced
}

// Next returns the next step for the current state of the fleet. A drained process counts as unavailable until the fleet
// contains its instance in another incarnation.
func (r *Rollout) Next(now time.Duration, fleet []Instance, load map[string]float64, limits Limits) Step {
	var step Step
	state := r.assess(now, fleet, limits, &step)
	switch {
	case len(state.remaining) == 0:
		step.IsDone = state.replacingCount == 0
		if !step.IsDone {
			step.block(BlockedByReplacement, "waiting for %d instances being replaced", state.replacingCount)
		}
		return step
	case len(state.remaining) == 1 && state.remaining[0].IsLeader:
		step.TransferLeadership = state.replacingCount == 0
		if !step.TransferLeadership {
			step.block(BlockedByReplacement, "waiting for %d instances being replaced before the leader resigns", state.replacingCount)
		}
		return step
	case state.replacingCount >= limits.MaxUnavailable:
		step.block(BlockedByReplacement, "%d instances being replaced, expected fewer than %d", state.replacingCount, limits.MaxUnavailable)
		return step
	}
	zones := limits.zones(state.instances, load)
	wave := newDrainQueue(state.remaining, zones).nextWave(waveLimits{
		maxSize:            limits.MaxUnavailable - state.replacingCount,
		isVoterUnavailable: state.isVoterUnavailable,
	})
	for _, c := range inFleetOrder(wave) {
		step.Drain = append(step.Drain, c.Instance)
	}
	if len(wave) == 0 {
		step.explainBlocked(state.remaining[0], zones)
	}
	return step
}

// fleetState is the state of a fleet, with the recorded drains taken into account.
type fleetState struct {
	instances          []Instance
	remaining          []Instance // instances to be drained
	replacingCount     int        // number of instances drained and not yet restarted
	isVoterUnavailable bool
}

// assess applies the recorded drains to the fleet, finds the instances that remain to be drained, and adds the stuck ones
// to the step.
func (r *Rollout) assess(now time.Duration, fleet []Instance, limits Limits, step *Step) fleetState {
	state := fleetState{instances: make([]Instance, len(fleet))}
	copy(state.instances, fleet)
	for n := range state.instances {
		i := &state.instances[n]
		drainedAt, isDrained := r.drained[process{i.Name, i.Incarnation}]
		switch {
		case isDrained:
			i.IsDraining = true
			if now-drainedAt > limits.ReplaceTimeout {
				step.Stuck = append(step.Stuck, i.Name)
			}
			state.replacingCount++
			state.isVoterUnavailable = state.isVoterUnavailable || i.IsVoter
		case i.IsUnreachable || i.IsDraining: // for a reason other than this rollout
			state.isVoterUnavailable = state.isVoterUnavailable || i.IsVoter
		case r.Release == "" || i.Release == r.Release:
		case r.attempts[i.Name] >= maxAttempts:
			step.Stuck = append(step.Stuck, i.Name)
		default:
			state.remaining = append(state.remaining, *i)
		}
	}
	return state
}

// block sets why the step drains no instance.
func (s *Step) block(cause BlockCause, reason string, args ...any) {
	s.BlockedBy = cause
	s.BlockedReason = fmt.Sprintf(reason, args...)
}

// explainBlocked sets why the first remaining instance cannot be drained now.
func (s *Step) explainBlocked(first Instance, zones map[string]*zone) {
	if z := zones[first.Zone]; !z.canSpare(first.Capacity, 0, 0) {
		s.block(BlockedByCapacity,
			"zone %s has %.6g work items/s available, expected %.6g (required capacity plus its largest instance) plus %.6g to drain %s",
			z.name, z.availableCapacity, z.requiredCapacity+z.largestCapacity, first.Capacity, first.Name)
		return
	}
	s.block(BlockedByInstance,
		"%s cannot be drained now: another voter is unavailable, a slot migration waits for it, or it leads the rollout", first.Name)
}
