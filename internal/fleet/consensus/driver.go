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
	workQueueSize     = 256 // raft blocks while the queue is full
	sendQueueSize     = 64  // proposals to the leader; more are lost, and proposed again
	ticksPerLease     = 32
	drainPollInterval = 20 * time.Millisecond
)

// Watcher receives the changes of leases and the entries, on the driver's goroutine.
type Watcher interface {
	LeaseAcquired(duty string, token uint64)
	LeaseLost(duty string)
	// EntryApplied is called for each entry, in order.
	EntryApplied(index uint64, c lease.Command, o lease.Outcome)
	// SnapshotRestored is called when a snapshot replaced all earlier entries; state is the state machine's.
	SnapshotRestored(state []byte)
	// Tick is called many times within a lease.
	Tick(now time.Duration)
}

// DriverConfig is what a Driver is started with.
type DriverConfig struct {
	Log         Config
	Leases      lease.Config // the same in all members
	Incarnation uint64       // differs from that of every earlier process of this member
	Watcher     Watcher
	// Send sends a message to the member that is this process, which calls ReceiveProposal there. It may block; a message
	// that is lost, or that it fails to send, is proposed again.
	Send func(process string, message []byte) error
	// OnReady receives the driver before the first entry comes, and before StartDriver returns; nil for none.
	OnReady func(*Driver)
}

// Driver runs one member's elector over its replica of the log. It owns two goroutines until Stop, and those of
// ManageVoters: one calls the elector and the Watcher, and entries, ticks and calls from other goroutines reach it through
// a bounded queue; the other sends proposals to the leader. Its methods are safe for concurrent use unless they say
// otherwise.
type Driver struct {
	Log      *Log
	elector  *lease.Elector
	watcher  Watcher
	process  string
	interval time.Duration // between ticks
	start    time.Time
	work     chan func()
	outbox   chan message
	send     func(process string, message []byte) error
	stop     chan struct{}
	running  sync.WaitGroup // the driver's goroutines
}

// message is a proposal on its way to the leader.
type message struct {
	process string // the leader's
	body    []byte
}

// StartDriver starts a replica and its driver. Errors: those of Start.
func StartDriver(c DriverConfig) (*Driver, error) {
	table, err := lease.NewTable(c.Log.Duties...)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	d := &Driver{
		watcher:  c.Watcher,
		process:  c.Log.Process,
		interval: c.Leases.Duration / ticksPerLease,
		start:    time.Now(),
		work:     make(chan func(), workQueueSize),
		outbox:   make(chan message, sendQueueSize),
		send:     c.Send,
		stop:     make(chan struct{}),
	}
	d.elector = lease.NewElector(d, table, c.Leases, c.Log.Process, c.Incarnation)
	if c.OnReady != nil {
		c.OnReady(d)
	}
	if d.Log, err = Start(c.Log, d); err != nil {
		return nil, err
	}
	d.running.Go(d.run)
	d.running.Go(d.deliver)
	return d, nil
}

// Now returns the time since the driver's start, which is its elector's clock.
func (d *Driver) Now() time.Duration { return time.Since(d.start) }

// enqueue hands work to the driver's goroutine; after Stop it is dropped.
func (d *Driver) enqueue(f func()) {
	select {
	case d.work <- f:
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
		case f := <-d.work:
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

// deliver is the goroutine that sends proposals to the leader. Errors are ignored: the elector proposes again.
func (d *Driver) deliver() {
	for {
		select {
		case <-d.stop:
			return
		case m := <-d.outbox:
			_ = d.send(m.process, m.body)
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

// Propose implements lease.Host. It appends the command to the log if this process leads, and else sends it to the leader.
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
	case d.outbox <- message{leader, b}:
	default:
	}
}

// LeaseAcquired implements lease.Host.
func (d *Driver) LeaseAcquired(duty string, token uint64) { d.watcher.LeaseAcquired(duty, token) }

// LeaseLost implements lease.Host.
func (d *Driver) LeaseLost(duty string) { d.watcher.LeaseLost(duty) }

// ReceiveProposal appends another member's proposal to the log. It is dropped if it cannot be decoded, or if this process
// does not lead any more: its sender proposes again.
func (d *Driver) ReceiveProposal(b []byte) {
	var c lease.Command
	if json.Unmarshal(b, &c) == nil {
		_ = d.Log.Propose(c)
	}
}

// Decide proposes a decision if this member is the duty's holder. Whether it did is reported to done, on the driver's
// goroutine.
func (d *Driver) Decide(duty, body string, done func(isProposed bool)) {
	d.enqueue(func() { done(d.DecideNow(duty, body)) })
}

// DecideNow is Decide for the Watcher: it must be called on the driver's goroutine.
func (d *Driver) DecideNow(duty, body string) (isProposed bool) {
	_, isProposed = d.elector.Decide(d.Now(), duty, body)
	return isProposed
}

// Announce proposes a message of this member's own. It comes back as an entry with this sequence number, or is lost. It
// must be called on the driver's goroutine.
func (d *Driver) Announce(duty, body string) (seq uint64) { return d.elector.Announce(duty, body) }

// Resign releases the lease of a duty for another member to acquire. It must be called on the driver's goroutine.
func (d *Driver) Resign(duty string) { d.elector.Resign(d.Now(), duty) }

// SetClaimPosition sets this member's position in the order in which members claim a vacant duty.
func (d *Driver) SetClaimPosition(duty string, position int) {
	d.enqueue(func() { d.elector.SetClaimPosition(duty, position) })
}

// Drain releases all leases, and waits until another process votes in place of this one, or for the timeout: a process that
// ends while it votes is a failure that the other voters have to tolerate. The membership record must say before that this
// process is draining. Stop ends the replica after it.
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

// awaitVoteLoss returns once this process has no vote, after the timeout, or on Stop.
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

// Stop ends the driver and the replica, and returns once its goroutines have ended. It must be called once, and not on the
// driver's goroutine.
func (d *Driver) Stop() {
	close(d.stop)
	d.running.Wait()
	_ = d.Log.Stop()
}
