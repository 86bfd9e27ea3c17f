// Package rolling replicates a rolling restart (internal/decide/rollout) through the fleet's log (internal/fleet/consensus).
// The leader of the rollout evaluates the fleet and proposes drains, one entry per process. Every member applies the same
// entries, and the process that an entry names drains as on a shutdown signal.
//
// A Controller's methods must be called on the log driver's goroutine, except SetRelease, which is safe for concurrent use.
// A Controller holds no state that grows, except for the rollout, which has a bound of its own.
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

// stepInterval is the time between two evaluations of the fleet by the leader. A lost proposal is repeated at the next one.
const stepInterval = 250 * time.Millisecond

// Config configures a Controller.
type Config struct {
	Name        string
	Incarnation uint64
	Limits      rollout.Limits
	// Fleet returns the fleet as this member currently knows it, and each zone's load in work items per second.
	Fleet func() (fleet []rollout.Instance, load map[string]float64)
	// UnreachableVoters returns the processes that vote in the log but are not in the fleet, including earlier incarnations
	// of members that have restarted. Such a process counts as an unavailable voter until it is removed from the log.
	UnreachableVoters func() []string
	Propose           func(body string) bool // proposes an entry to the log, as the leader
	Resign            func()                 // releases the leader's lease
	Drain             func()                 // drains this process; called once
	Notify            func(message string)   // reports one line to the operators, not the same twice in a row
}

// Controller runs one member's part in the rollout: it applies the entries and, at the leader, proposes them.
type Controller struct {
	config Config

	mu            sync.Mutex // guards targetRelease
	targetRelease string     // that all members should run, set by SetRelease

	rollout        *rollout.Rollout
	isLeader       bool
	nextStep       time.Duration
	plannedRelease string // last release whose rollout was found possible
	lastMessage    string // the last message that notify reported
	isDrained      bool   // whether Config.Drain was called
}

// New returns the controller of a process that has just started.
func New(config Config) *Controller { return &Controller{config: config, rollout: rollout.New("")} }

// SetRelease sets the release that all members should run; "" for none. The leader uses only its own; that of the other
// members has no effect.
func (c *Controller) SetRelease(release string) {
	c.mu.Lock()
	c.targetRelease = release
	c.mu.Unlock()
}

func (c *Controller) loadTargetRelease() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targetRelease
}

// LeaseAcquired makes this member the rollout's leader.
func (c *Controller) LeaseAcquired() { c.isLeader = true }

// LeaseLost ends this member's leadership.
func (c *Controller) LeaseLost() {
	c.isLeader = false
	c.plannedRelease = ""
}

// Apply applies an entry of the log, whose outcome is given. Entries of other duties are ignored.
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

// Restore replaces the rollout by that of a snapshot.
func (c *Controller) Restore(now time.Duration, snapshot []byte) {
	if err := c.rollout.Decode(now, snapshot); err != nil {
		c.config.Notify(err.Error())
	}
}

// Tick executes the rollout's next step if this member is the leader and a step is due.
func (c *Controller) Tick(now time.Duration) {
	if !c.isLeader || now < c.nextStep {
		return
	}
	c.nextStep = now + stepInterval
	target := c.loadTargetRelease()
	if target != c.rollout.Release {
		c.propose(command{Release: &target})
		return
	}
	fleet, load := c.fleet()
	if target != "" && c.plannedRelease != target && !c.plan(fleet, load, target) {
		return
	}
	c.execute(c.rollout.Next(now, fleet, load, c.config.Limits))
}

// fleet returns the known fleet, to which it adds the unreachable voters, and the load of each zone.
func (c *Controller) fleet() (fleet []rollout.Instance, load map[string]float64) {
	fleet, load = c.config.Fleet()
	for _, process := range c.config.UnreachableVoters() {
		fleet = append(fleet, rollout.Instance{Name: process, IsUnreachable: true, IsVoter: true})
	}
	return fleet, load
}

// plan plans the whole rollout, and reports whether it is possible; if not, no process is drained.
func (c *Controller) plan(fleet []rollout.Instance, load map[string]float64, release string) (isPossible bool) {
	waves, minWaves, err := rollout.Plan(fleet, load, release, c.config.Limits)
	if err != nil {
		c.notify(err.Error())
		return false
	}
	c.plannedRelease = release
	c.notify(fmt.Sprintf("rollout of release %s: planned in %d waves, at least %d are necessary", release, len(waves), minWaves))
	return true
}

// execute executes a step.
func (c *Controller) execute(step rollout.Step) {
	switch {
	case step.TransferLeadership:
		c.notify("rollout: all other members are done, the leader resigns")
		c.config.Resign()
	case step.BlockedBy != rollout.NotBlocked:
		c.notify("rollout blocked: " + step.BlockedReason)
	}
	for _, i := range step.Drain {
		c.notify("rollout: member " + i.Name + " drains")
		c.propose(command{Drain: i.Name, Incarnation: i.Incarnation})
	}
}

// notify reports a message to the operators, unless it is the same as the last one.
func (c *Controller) notify(message string) {
	if message != c.lastMessage {
		c.lastMessage = message
		c.config.Notify(message)
	}
}

func (c *Controller) propose(cmd command) { c.config.Propose(cmd.encode()) }
