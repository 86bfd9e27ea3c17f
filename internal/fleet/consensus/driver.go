package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"thymechute/internal/decide/lease"
)

const (
	workQueueSize     = 256 // functions for the driver's goroutine; raft blocks while the queue is full
	proposalQueueSize = 64  // proposals to be sent to the leader; more are dropped, and the elector proposes again
	ticksPerLease     = 32
	drainPollInterval = 20 * time.Millisecond
)

// Watcher receives this member's lease changes and the log's entries, on the driver's goroutine.
type Watcher interface {
	LeaseAcquired(duty string, token uint64)
	LeaseLost(duty string)
	// EntryApplied is called for each entry, in order.
	EntryApplied(index uint64, c lease.Command, o lease.Outcome)
	// SnapshotRestored is called after a snapshot has replaced all earlier entries. state is the encoded StateMachine.
	SnapshotRestored(state []byte)
	// Tick is called ticksPerLease times in the duration of a lease. now is the time by Driver.Now.
	Tick(now time.Duration)
}

// DriverConfig configures a Driver.
type DriverConfig struct {
	Log         Config
	Leases      lease.Config // the same in all members
	Incarnation uint64       // must differ from that of every earlier process of this member
	Watcher     Watcher
	// Send sends a message to the named process, where it must be passed to ReceiveProposal. Send may block and messages may
	// be lost, as lost proposals are repeated.
	Send func(process string, message []byte) error
	// OnReady is called with the driver before the first entry is applied and before StartDriver returns; nil for none.
	OnReady func(*Driver)
}

// Driver runs one member's elector on its replica of the log. The driver's goroutine calls the elector and the Watcher;
// entries and calls from other goroutines reach it through a bounded queue. A second goroutine sends proposals to the
// leader, and ManageVoters starts a third. All of them run until Stop. A Driver's methods are safe for concurrent use unless
// they say otherwise.
type Driver struct {
	Log           *Log
	elector       *lease.Elector
	watcher       Watcher
	process       string
	interval      time.Duration // between ticks
	startedAt     time.Time
	workQueue     chan func()
	proposalQueue chan outgoingProposal
	send          func(process string, message []byte) error
	stop          chan struct{}
	goroutines    sync.WaitGroup // all that Stop waits for
}

// outgoingProposal is a proposal to be sent to the leader.
type outgoingProposal struct {
	leader string // its process
	body   []byte
}

// StartDriver starts a replica and its driver. Errors: those of Start.
func StartDriver(c DriverConfig) (*Driver, error) {
	table, err := lease.NewTable(c.Log.Duties...)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	d := &Driver{
		watcher:       c.Watcher,
		process:       c.Log.Process,
		interval:      c.Leases.Duration / ticksPerLease,
		startedAt:     time.Now(),
		workQueue:     make(chan func(), workQueueSize),
		proposalQueue: make(chan outgoingProposal, proposalQueueSize),
		send:          c.Send,
		stop:          make(chan struct{}),
	}
	d.elector = lease.NewElector(d, table, c.Leases, c.Log.Process, c.Incarnation)
	if c.OnReady != nil {
		c.OnReady(d)
	}
	if d.Log, err = Start(c.Log, d); err != nil {
		return nil, err
	}
	d.goroutines.Go(d.run)
	d.goroutines.Go(d.sendProposals)
	return d, nil
}

// Now returns the time since the driver's start, which is its elector's clock.
func (d *Driver) Now() time.Duration { return time.Since(d.startedAt) }

// enqueue has the driver's goroutine call f. After Stop f may be dropped.
func (d *Driver) enqueue(f func()) {
	select {
	case d.workQueue <- f:
	case <-d.stop:
	}
}

// run is the goroutine that calls the elector and the Watcher.
func (d *Driver) run() {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case f := <-d.workQueue:
			f()
		case <-ticker.C:
			d.tick()
		}
	}
}

func (d *Driver) tick() {
	if _, isCurrent := d.Log.Applied(); isCurrent {
		d.elector.SetCaughtUp(d.Now())
	}
	d.elector.Tick(d.Now())
	d.watcher.Tick(d.Now())
}

// sendProposals is the goroutine that sends proposals to the leader. Errors are ignored, as the elector proposes again.
func (d *Driver) sendProposals() {
	for {
		select {
		case <-d.stop:
			return
		case m := <-d.proposalQueue:
			_ = d.send(m.leader, m.body)
		}
	}
}

// EntryApplied implements Subscriber.
func (d *Driver) EntryApplied(index uint64, c lease.Command) {
	d.enqueue(func() { d.watcher.EntryApplied(index, c, d.elector.Apply(d.Now(), index, c)) })
}

// SnapshotRestored implements Subscriber.
func (d *Driver) SnapshotRestored(t *lease.Table, state []byte) {
	d.enqueue(func() {
		d.elector.Restore(d.Now(), t)
		d.watcher.SnapshotRestored(state)
	})
}

// Propose implements lease.Host. It appends the command to the log if this process is the leader, and otherwise queues it to
// be sent to the leader. Without a known leader, or with a full queue, the command is dropped.
func (d *Driver) Propose(c lease.Command) {
	if d.Log.Propose(c) == nil {
		return
	}
	leader, _ := d.Log.Leader()
	b, err := json.Marshal(c)
	if err != nil || leader == "" {
		return
	}
	select {
	case d.proposalQueue <- outgoingProposal{leader, b}:
	default:
	}
}

// LeaseAcquired implements lease.Host.
func (d *Driver) LeaseAcquired(duty string, token uint64) { d.watcher.LeaseAcquired(duty, token) }

// LeaseLost implements lease.Host.
func (d *Driver) LeaseLost(duty string) { d.watcher.LeaseLost(duty) }

// ReceiveProposal appends another member's proposal to the log. The proposal is dropped if it cannot be decoded or if this
// process is no longer the leader: its sender proposes again.
func (d *Driver) ReceiveProposal(b []byte) {
	var c lease.Command
	if json.Unmarshal(b, &c) == nil {
		_ = d.Log.Propose(c)
	}
}

// Decide proposes a decision if this member holds the duty's lease. done is called on the driver's goroutine with whether the
// decision was proposed.
func (d *Driver) Decide(duty, body string, done func(isProposed bool)) {
	d.enqueue(func() { done(d.DecideNow(duty, body)) })
}

// DecideNow proposes a decision if this member holds the duty's lease, and returns whether it did. It must be called on the
// driver's goroutine, as by the Watcher.
func (d *Driver) DecideNow(duty, body string) (isProposed bool) {
	_, isProposed = d.elector.Decide(d.Now(), duty, body)
	return isProposed
}

// Announce proposes an entry that needs no lease. The entry carries the returned sequence number; it may be lost. Announce
// must be called on the driver's goroutine.
func (d *Driver) Announce(duty, body string) (seq uint64) { return d.elector.Announce(duty, body) }

// Resign releases the lease of a duty, so that another member can acquire it. It must be called on the driver's goroutine.
func (d *Driver) Resign(duty string) { d.elector.Resign(d.Now(), duty) }

// SetClaimPosition sets this member's position in the order in which members claim a vacant duty.
func (d *Driver) SetClaimPosition(duty string, position int) {
	d.enqueue(func() { d.elector.SetClaimPosition(duty, position) })
}

// Drain releases all leases, and waits until this process no longer votes, at most for the timeout: the end of a process that
// still votes counts as a failed voter in the quorum. Before the call, the membership record must show this process as
// draining. Stop must be called afterwards.
func (d *Driver) Drain(timeout time.Duration) {
	released := make(chan struct{})
	d.enqueue(func() {
		d.elector.Drain(d.Now())
		close(released)
	})
	select {
	case <-released:
	case <-d.stop:
		return
	}
	d.awaitVoteLoss(timeout)
}

// awaitVoteLoss returns once this process no longer votes, after the timeout, or on Stop.
func (d *Driver) awaitVoteLoss(timeout time.Duration) {
	expired := time.After(timeout)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for slices.Contains(d.Log.Voters(), d.process) {
		select {
		case <-ticker.C:
		case <-expired:
			return
		case <-d.stop:
			return
		}
	}
}

// Stop stops the driver and the replica, and returns once their goroutines have ended. It must be called exactly once, and not
// on the driver's goroutine.
func (d *Driver) Stop() {
	close(d.stop)
	d.goroutines.Wait()
	_ = d.Log.Stop()
}
