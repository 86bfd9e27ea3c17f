// Package slots replicates the ring (internal/decide/ring) through the fleet's log (internal/fleet/consensus). The leader of
// the ring plans tables and migrates slots. Every member builds the same tables from the log's entries, acknowledges them,
// and under its lease calls the backends that own slots in the active table.
//
// Entries contain no tables: a freeze entry lists the backends, from which every member plans the same table, and a digest to
// verify that it is the same. A member whose plan differs, for example one of another build, makes no more calls.
//
// Bounds: at most MaxCalls calls in flight, each removed by EndCall, and at most maxPendingAcks acknowledgements in
// flight, of which the oldest is dropped first. A Controller's methods must be called on the log driver's goroutine, except
// BeginCall, EndCall, Drain, TableVersion and SetBackends, which are safe for concurrent use.
package slots

import (
	"errors"
	"slices"
	"sync"
	"time"

	"thymechute/internal/decide/ring"
)

// Duty is the name of the ring's lease in the log.
const Duty = "ring"

const (
	// MaxCalls is the maximum number of calls in flight at one member.
	MaxCalls = 1 << 16

	maxPendingAcks     = 16
	acksPerLease       = 5 // acknowledgements sent in the duration of a lease
	memberExpiryLeases = 2 // durations of a lease after which a member that sends no acknowledgements is forgotten
)

// Log is the replicated log to which a Controller proposes entries; see consensus.Driver.
type Log interface {
	DecideNow(duty, body string) bool
	Announce(duty, body string) (seq uint64)
	Now() time.Duration
}

// Config configures a Controller. It must be the same in all members, except for Process, Incarnation and Notify.
type Config struct {
	Process     string
	Incarnation uint64
	Slots       int // a power of two, as for ring.New
	Terms       ring.LeaseTerms
	Bound       ring.BalanceBound
	SlowStart   ring.SlowStart       // of backends that are warming up
	Budget      ring.CallBudget      // of backends in slow start; the zero value disables slow start
	Notify      func(message string) // reports a message of one line to the operators
}

// Controller runs one member's part in the replication of the ring: its calls, its acknowledgements and, at the leader, the
// migrations.
type Controller struct {
	config Config
	log    Log

	mu            sync.Mutex // guards the fields below
	state         ring.ReplicatedState
	gate          *ring.CallGate
	inFlight      map[int]int // number of calls by slot
	inFlightTotal int
	isDiverged    bool // this member's plan differs from the leader's, or its snapshot was invalid
	isDraining    bool

	targetBackends   []ring.Backend           // that should own slots, set by SetBackends
	migrator         *ring.Migrator           // nil unless this member is the leader
	warmUp           *ring.WarmUpController   // nil unless this member is the leader and there is a budget
	lastAcknowledged map[string]time.Duration // by process
	pendingAcks      []pendingAck
	nextAck          time.Duration
}

// pendingAck is an acknowledgement of this member that it has not yet received as an entry.
type pendingAck struct {
	seq    uint64
	sentAt time.Duration
}

// New returns the controller of a process that has just started. It has no table until it has applied an activation or a
// snapshot. Errors: a number of slots that ring.New rejects, an invalid budget or, if there is a budget, an invalid slow start.
func New(config Config, log Log) (*Controller, error) {
	if config.Budget != (ring.CallBudget{}) {
		if err := errors.Join(config.Budget.Validate(), config.SlowStart.Validate()); err != nil {
			return nil, err
		}
	}
	empty, err := ring.New(config.Slots)
	if err != nil {
		return nil, err
	}
	return &Controller{
		config:           config,
		log:              log,
		state:            ring.ReplicatedState{Active: empty},
		gate:             ring.NewCallGate(empty),
		inFlight:         map[int]int{},
		lastAcknowledged: map[string]time.Duration{},
	}, nil
}

// SetBackends sets the backends that should own slots, and which of them warm up first. The leader uses only its own; those
// of the other members have no effect.
func (c *Controller) SetBackends(backends []ring.Backend) {
	c.mu.Lock()
	c.targetBackends = slices.Clone(backends)
	c.mu.Unlock()
}

// TableVersion returns the version of the active table.
func (c *Controller) TableVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Active.Version
}

// Restore replaces the state by that of a snapshot. If the snapshot is invalid, this member counts as diverged.
func (c *Controller) Restore(snapshot []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.state.Decode(snapshot); err != nil {
		c.isDiverged = true
		c.config.Notify(err.Error())
		return
	}
	c.gate.Activate(c.state.Active)
	c.gate.Freeze(c.state.MigratingSlots)
}

// Tick sends acknowledgements and, at the leader, starts and continues migrations and grants.
func (c *Controller) Tick(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledge(now)
	for process, at := range c.lastAcknowledged {
		if now-at > memberExpiryLeases*c.config.Terms.Duration {
			delete(c.lastAcknowledged, process)
		}
	}
	if c.migrator != nil {
		c.tickLeader(now)
	}
}

// acknowledge announces an acknowledgement of the newest table version if one is due. It sends none while this member drains,
// has diverged, or has a call in flight on a migrating slot.
func (c *Controller) acknowledge(now time.Duration) {
	if now < c.nextAck || c.isDraining || c.isDiverged || c.hasCallOnMigratingSlot() {
		return
	}
	version := c.state.Active.Version
	if c.state.Pending != nil {
		version = c.state.Pending.Version
	}
	if version == 0 {
		return
	}
	seq := c.log.Announce(Duty, command{Ack: version}.encode())
	c.pendingAcks = append(c.pendingAcks, pendingAck{seq, now})
	if len(c.pendingAcks) > maxPendingAcks {
		c.pendingAcks = slices.Delete(c.pendingAcks, 0, 1)
	}
	c.nextAck = now + c.config.Terms.Duration/acksPerLease
}

func (c *Controller) hasCallOnMigratingSlot() bool {
	return slices.ContainsFunc(c.state.MigratingSlots, func(slot int) bool { return c.inFlight[slot] > 0 })
}
