// Package slots replicates the ring (internal/decide/ring) over the agreed log (internal/fleet/consensus). The leader of
// the ring plans and migrates; every member builds the same tables from the log's entries, acknowledges them, and calls
// by them under its lease.
//
// No table is sent: a freeze entry names the backends, every member computes the same plan from it, and a digest shows
// whether it did. A member whose plan differs, such as one of another build, uses no table any more.
//
// Bounds: at most MaxCalls calls in flight, each removed by EndCall, and at most maxPendingAcks acknowledgements in
// flight, the oldest dropped first. A Controller's methods are called on the log driver's goroutine, except BeginCall,
// EndCall, Drain, TableVersion and SetBackends, which are safe for concurrent use.
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
	// MaxCalls bounds the calls in flight at one member.
	MaxCalls = 1 << 16

	maxPendingAcks     = 16
	ackPerLease        = 5 // acknowledgements sent in a lease
	memberExpiryLeases = 2 // leases without an acknowledgement after which a member is forgotten
)

// Log is where a Controller proposes its entries.
type Log interface {
	DecideNow(duty, body string) bool
	Announce(duty, body string) (seq uint64)
	Now() time.Duration
}

// Config of a Controller. It is the same in all members, except for Process, Incarnation and Notify.
type Config struct {
	Process     string
	Incarnation uint64
	Slots       int // a power of two, as for ring.New
	Terms       ring.LeaseTerms
	Bound       ring.BalanceBound
	SlowStart   ring.SlowStart       // of backends that warm up on joining
	Budget      ring.CallBudget      // of backends in slow start; the zero value disables slow start
	Notify      func(message string) // reports one line to the operators
}

// Controller is one member's part of the ring.
type Controller struct {
	config Config
	log    Log

	mu            sync.Mutex // guards all below
	state         ring.ReplicatedState
	gate          *ring.CallGate
	inFlight      map[int]int // calls by slot
	inFlightTotal int
	isDiverged    bool // its plan differs from the leader's
	isDraining    bool

	wanted           []ring.Backend
	migrator         *ring.Migrator         // nil unless this member leads
	warmUp           *ring.WarmUpController // nil unless this member leads and there is a budget
	lastAcknowledged map[string]time.Duration
	pendingAcks      []pendingAck
	nextAck          time.Duration
}

// pendingAck is an acknowledgement that is not in the log yet.
type pendingAck struct {
	seq    uint64
	sentAt time.Duration
}

// New returns the controller of a process that has just started. It has no table until it has applied one. It fails on
// a number of slots that ring.New rejects, and on an invalid budget or, if there is a budget, an invalid slow start.
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

// SetBackends sets the backends that should own slots, and which of them warm up first. The leader acts on its own.
func (c *Controller) SetBackends(backends []ring.Backend) {
	c.mu.Lock()
	c.wanted = slices.Clone(backends)
	c.mu.Unlock()
}

// TableVersion returns the version of the active table.
func (c *Controller) TableVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Active.Version
}

// Restore replaces the state by a snapshot's. If that is not valid, this member has no table.
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
		c.lead(now)
	}
}

// acknowledge sends an acknowledgement of the newest version, if one is due and nothing forbids it.
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
	c.nextAck = now + c.config.Terms.Duration/ackPerLease
}

func (c *Controller) hasCallOnMigratingSlot() bool {
	return slices.ContainsFunc(c.state.MigratingSlots, func(slot int) bool { return c.inFlight[slot] > 0 })
}
