// Package rolling replicates a rolling restart (internal/decide/rollout) over the agreed log (internal/fleet/consensus).
// The leader of the rollout evaluates the fleet and proposes the drains, one entry for each. Every member applies the same
// entries, and the process that an entry names drains as on a shutdown signal.
//
// A Controller's methods are called on the log driver's goroutine, except SetRelease, which is safe for concurrent use. Its
// only table is the rollout's.
package rolling

import (
	"fmt"
	"sync"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/rollout"
)

// Duty is the name of the rollout's lease in the log.
const Duty = "roll"

// stepInterval is the time between two evaluations of the fleet by the leader. A lost proposal is repeated after it.
const stepInterval = 250 * time.Millisecond

// Config of a Controller.
type Config struct {
	Name        string
	Incarnation uint64
	Limits      rollout.Limits
	// Fleet returns the fleet as this member knows it now, and each zone's load in work items a second.
	Fleet func() (fleet []rollout.Instance, load map[string]float64)
	// UnreachableVoters returns the processes that vote in the log and are not in the fleet, including ended incarnations
	// of names that are back. Until the log has removed one it counts as an unavailable voter.
	UnreachableVoters func() []string
	Propose           func(body string) bool // to the log, as the leader
	Resign            func()                 // gives the leadership up
	Drain             func()                 // drains this process; called once
	Notify            func(message string)   // reports one line to the operators, each new reason once
}

// Controller is one member's part of the rollout.
type Controller struct {
	config Config

	mu     sync.Mutex // guards wanted
	wanted string     // release

	rollout        *rollout.Rollout
	isLeader       bool
	nextStep       time.Duration
	plannedRelease string // last release for which a plan was possible
	lastMessage    string // last reported by notify
	isDrained      bool   // Config.Drain was called
}

// New returns the controller of a process that has just started.
func New(config Config) *Controller { return &Controller{config: config, rollout: rollout.New("")} }

// SetRelease sets the release that all should run; "" for none. The leader acts on its own.
func (c *Controller) SetRelease(release string) {
	c.mu.Lock()
	c.wanted = release
	c.mu.Unlock()
}

func (c *Controller) wantedRelease() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wanted
}

// LeaseAcquired makes this member the rollout's leader.
func (c *Controller) LeaseAcquired() { c.isLeader = true }

// LeaseLost ends this member's leadership.
func (c *Controller) LeaseLost() {
	c.isLeader = false
	c.plannedRelease = ""
}

// Apply applies one entry of the log, with its outcome. Entries of other duties are ignored.
func (c *Controller) Apply(now time.Duration, entry lease.Command, outcome lease.Outcome) {
	cmd, ok := decodeCommand(entry, outcome)
	if !ok {
		return
	}
	isNewDrain := cmd.apply(c.rollout, now)
	isThisProcess := cmd.Drain == c.config.Name && cmd.Incarnation == c.config.Incarnation
	if isNewDrain && isThisProcess && !c.isDrained {
		c.isDrained = true
		c.config.Drain()
	}
}

// Restore replaces the rollout by a snapshot's.
func (c *Controller) Restore(now time.Duration, snapshot []byte) {
	if err := c.rollout.Decode(now, snapshot); err != nil {
		c.config.Notify(err.Error())
	}
}

// Tick carries out the rollout's next step, at the leader.
func (c *Controller) Tick(now time.Duration) {
	if !c.isLeader || now < c.nextStep {
		return
	}
	c.nextStep = now + stepInterval
	wanted := c.wantedRelease()
	if wanted != c.rollout.Release {
		c.propose(command{Release: &wanted})
		return
	}
	fleet, load := c.fleet()
	if wanted != "" && c.plannedRelease != wanted && !c.plan(fleet, load, wanted) {
		return
	}
	c.execute(c.rollout.Next(now, fleet, load, c.config.Limits))
}

// fleet is the known fleet with the unreachable voters.
func (c *Controller) fleet() (fleet []rollout.Instance, load map[string]float64) {
	fleet, load = c.config.Fleet()
	for _, process := range c.config.UnreachableVoters() {
		fleet = append(fleet, rollout.Instance{Name: process, IsUnreachable: true, IsVoter: true})
	}
	return fleet, load
}

// plan reports whether the whole rollout is possible; if not, nobody is drained.
func (c *Controller) plan(fleet []rollout.Instance, load map[string]float64, release string) (isPossible bool) {
	waves, minWaves, err := rollout.Plan(fleet, load, release, c.config.Limits)
	if err != nil {
		c.notify(err.Error())
		return false
	}
	c.plannedRelease = release
	c.notify(fmt.Sprintf("rollout of %s: %d waves, at least %d", release, len(waves), minWaves))
	return true
}

// execute carries out a step.
func (c *Controller) execute(step rollout.Step) {
	switch {
	case step.TransferLeadership:
		c.notify("rollout: only the leader is left; it resigns")
		c.config.Resign()
	case step.BlockedBy != rollout.NotBlocked:
		c.notify("rollout blocked: " + step.BlockedReason)
	}
	for _, i := range step.Drain {
		c.notify("rollout: " + i.Name + " drains")
		c.propose(command{Drain: i.Name, Incarnation: i.Incarnation})
	}
}

// notify reports a message unless it is the last one again.
func (c *Controller) notify(message string) {
	if message != c.lastMessage {
		c.lastMessage = message
		c.config.Notify(message)
	}
}

func (c *Controller) propose(cmd command) { c.config.Propose(cmd.encode()) }
