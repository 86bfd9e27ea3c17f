// Package rollout decides in which order instances are drained for a new release, such that no zone's capacity drops
// below its required minimum, and releases each drain only on the fleet's state at that time.
//
// The package is pure: it does no I/O, reads no clock, starts no goroutine and draws no random number. The leader of the
// rollout runs it; each drain is an entry of the replicated log, so the next leader continues where the last one stopped.
// A Rollout holds one entry a drained process, at most MaxInstances, cleared when another release is wanted. It is not
// safe for concurrent use.
package rollout

import (
	"fmt"
	"time"
)

// MaxInstances bounds the instances that a Rollout drains.
const MaxInstances = 10000

// maxAttempts is how often a name is drained for one release: an instance that restarts with the old release is stuck.
const maxAttempts = 1

// Rollout is the replicated state of the rollout in progress.
type Rollout struct {
	Release  string                    // that all instances should run; "" for none
	drained  map[process]time.Duration // when, by the local clock
	attempts map[string]int            // by name, for this release
}

// process is one incarnation of a named instance.
type process struct {
	name        string
	incarnation uint64
}

// New returns a rollout of a release; "" wants nothing.
func New(release string) *Rollout {
	return &Rollout{Release: release, drained: map[process]time.Duration{}, attempts: map[string]int{}}
}

// SetRelease changes the wanted release, for example back to the old one. Processes that were drained still end; every
// instance of another release than this one is drained.
func (r *Rollout) SetRelease(release string) {
	if release != r.Release {
		*r = *New(release)
	}
}

// RecordDrain applies the log entry that drains a process. It returns false if this or a previous leader has drained it
// already, or if too many are drained.
func (r *Rollout) RecordDrain(now time.Duration, name string, incarnation uint64) bool {
	p := process{name, incarnation}
	if _, isDuplicate := r.drained[p]; isDuplicate || len(r.drained) >= MaxInstances {
		return false
	}
	r.drained[p] = now
	r.attempts[name]++
	return true
}

// BlockCause says why a Step drains nobody.
type BlockCause uint8

// The causes.
const (
	NotBlocked           BlockCause = iota
	BlockedByReplacement            // instances are being replaced
	BlockedByCapacity               // a zone can't spare an instance
	BlockedByInstance               // of another voter, a slot migration, or the leadership
)

// Step is the leader's next step.
type Step struct {
	Drain         []Instance // to be proposed to the log, one entry each
	BlockedBy     BlockCause // NotBlocked if some are drained, or if IsDone
	BlockedReason string     // the same for operators, in one line; "" if NotBlocked
	Stuck         []string   // drained longer than ReplaceTimeout ago, or restarted with the old release
	// TransferLeadership says that only the leader itself is left: it resigns, and its successor drains it.
	TransferLeadership bool
	IsDone             bool // no instance is left to drain or being replaced
}

// Next judges the fleet as it is now. A drained process counts as unavailable until it is back in another incarnation.
func (r *Rollout) Next(now time.Duration, fleet []Instance, load map[string]float64, limits Limits) Step {
	var step Step
	state := r.judge(now, fleet, limits, &step)
	switch {
	case len(state.remaining) == 0:
		step.IsDone = state.draining == 0
		if !step.IsDone {
			step.block(BlockedByReplacement, "%d being replaced", state.draining)
		}
		return step
	case len(state.remaining) == 1 && state.remaining[0].IsLeader:
		step.TransferLeadership = state.draining == 0
		if !step.TransferLeadership {
			step.block(BlockedByReplacement, "%d being replaced before the leader resigns", state.draining)
		}
		return step
	case state.draining >= limits.MaxUnavailable:
		step.block(BlockedByReplacement, "%d being replaced, at most %d", state.draining, limits.MaxUnavailable)
		return step
	}
	zones := limits.zones(state.fleet, load)
	wave := newDrainQueue(state.remaining, zones).nextWave(waveLimits{
		maxSize:            limits.MaxUnavailable - state.draining,
		isVoterUnavailable: state.isVoterUnavailable,
	})
	for _, c := range inGivenOrder(wave) {
		step.Drain = append(step.Drain, c.Instance)
	}
	if len(wave) == 0 {
		step.blockFirst(state.remaining[0], zones)
	}
	return step
}

// fleetState is a fleet judged by what has been drained.
type fleetState struct {
	fleet              []Instance
	remaining          []Instance // to be drained
	draining           int        // drained and not back
	isVoterUnavailable bool
}

// judge finds the instances that remain to be drained, and adds the stuck ones to the step.
func (r *Rollout) judge(now time.Duration, fleet []Instance, limits Limits, step *Step) fleetState {
	state := fleetState{fleet: make([]Instance, len(fleet))}
	copy(state.fleet, fleet)
	for n := range state.fleet {
		i := &state.fleet[n]
		drainedAt, isDrained := r.drained[process{i.Name, i.Incarnation}]
		switch {
		case isDrained:
			i.IsDraining = true
			if now-drainedAt > limits.ReplaceTimeout {
				step.Stuck = append(step.Stuck, i.Name)
			}
			state.draining++
			state.isVoterUnavailable = state.isVoterUnavailable || i.IsVoter
		case i.IsUnreachable || i.IsDraining: // for another reason than this rollout
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

func (s *Step) block(cause BlockCause, reason string, args ...any) {
	s.BlockedBy = cause
	s.BlockedReason = fmt.Sprintf(reason, args...)
}

// blockFirst says why the first of those that remain can't be drained now.
func (s *Step) blockFirst(first Instance, zones map[string]*zone) {
	if z := zones[first.Zone]; !z.canSpare(first.Capacity, 0, 0) {
		s.block(BlockedByCapacity, "zone %s has %.6g of capacity, expected %.6g and %.6g for %s",
			z.name, z.available, z.required+z.largest, first.Capacity, first.Name)
		return
	}
	s.block(BlockedByInstance, "%s waits: another voter is unavailable, a migration waits for it, or it leads the rollout", first.Name)
}
