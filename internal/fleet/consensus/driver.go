// This file owns the goroutine that drives one member's lease.Holder: entries, ticks and messages come to it one by
// one. It must never block raft for longer than its queue, nor call the Holder from two goroutines.

package consensus

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"thymechute/internal/decide/lease"
)

// Watcher hears what becomes of duties and entries, on the driver's goroutine.
type Watcher interface {
	LeaseAcquired(duty string, token uint64)
	LeaseLost(duty string)
	EntryApplied(index uint64, c lease.Command, o lease.Outcome) // each entry, in order
	SnapshotRestored(machine []byte)                             // a snapshot took the place of those so far
	Tick(now time.Duration)                                      // often beside a lease
}

// Driver is one member's duties.
type Driver struct {
	Log     *Log
	holder  *lease.Elector
	watch   Watcher
	lease   lease.Config
	start   time.Time
	work    chan func() // bounded; raft waits where it is full
	send    chan forward
	forward func(process string, b []byte) error
	stop    chan struct{}
	process string
	done    sync.WaitGroup
}

type forward struct {
	process string
	b       []byte
}

const (
	queued   = 256
	forwards = 64 // to the leader; past them a proposal is lost, and tried again
	ticks    = 32 // in a lease
)

// StartDriver starts a log and its driver; ready, if not nil, is handed the driver before the first entry comes. send takes a message to the member that is this process (Incoming there).
func StartDriver(c Config, terms lease.Config, life uint64, w Watcher,
	send func(process string, b []byte) error, ready func(*Driver)) (*Driver, error) {
	table, err := lease.NewTable(c.Duties...)
	if err != nil {
		return nil, err
	}
	d := &Driver{watch: w, lease: terms, start: time.Now(), work: make(chan func(), queued), send: make(chan forward, forwards),
		forward: send, stop: make(chan struct{}), process: c.Process}
	d.holder = lease.NewElector(d, table, terms, c.Process, life)
	if ready != nil {
		ready(d)
	}
	if d.Log, err = Start(c, d); err != nil {
		return nil, err
	}
	d.done.Add(2)
	go d.run()
	go d.deliver()
	return d, nil
}

func (d *Driver) now() time.Duration { return time.Since(d.start) }

// do hands work to the driver's goroutine; once it has stopped, nowhere.
func (d *Driver) do(f func()) {
	select {
	case d.work <- f:
	case <-d.stop:
	}
}

func (d *Driver) run() {
	defer d.done.Done()
	tick := time.NewTicker(d.lease.Duration / ticks)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case f := <-d.work:
			f()
		case <-tick.C:
			if _, all := d.Log.Applied(); all {
				d.holder.SetCaughtUp(d.now())
			}
			d.holder.Tick(d.now())
			d.watch.Tick(d.now())
		}
	}
}

func (d *Driver) deliver() {
	defer d.done.Done()
	for {
		select {
		case <-d.stop:
			return
		case f := <-d.send:
			_ = d.forward(f.process, f.b) // lost: the Holder tries again
		}
	}
}

// EntryApplied and Restored make the driver the log's Reader.
func (d *Driver) EntryApplied(index uint64, c lease.Command) {
	d.do(func() { d.watch.EntryApplied(index, c, d.holder.Apply(d.now(), index, c)) })
}

// SnapshotRestored implements Reader.
func (d *Driver) SnapshotRestored(t *lease.Table, machine []byte) {
	d.do(func() {
		d.holder.Restore(d.now(), t)
		d.watch.SnapshotRestored(machine)
	})
}

// Propose implements lease.Host: into the log here, or to the leader.
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
	case d.send <- forward{leader, b}:
	default:
	}
}

// LeaseAcquired and Lost implement lease.Host.
func (d *Driver) LeaseAcquired(duty string, token uint64) { d.watch.LeaseAcquired(duty, token) }

// LeaseLost implements lease.Host.
func (d *Driver) LeaseLost(duty string) { d.watch.LeaseLost(duty) }

// ReceiveProposal is another member's proposal; what does not read is dropped.
func (d *Driver) ReceiveProposal(b []byte) {
	var c lease.Command
	if json.Unmarshal(b, &c) == nil {
		_ = d.Log.Propose(c) // no longer the leader: its sender tries again
	}
}

// Decide issues a decision of a duty that this member holds; whether it did comes back on the driver's goroutine.
func (d *Driver) Decide(duty, body string, told func(ok bool)) {
	d.do(func() {
		_, ok := d.holder.Decide(d.now(), duty, body)
		told(ok)
	})
}

// DecideNow and Note are for the Watcher, on the driver's goroutine.
func (d *Driver) DecideNow(duty, body string) bool {
	_, ok := d.holder.Decide(d.now(), duty, body)
	return ok
}

// Announce puts a word of this member's own into the log; it comes back as an entry with this Seq, or never.
func (d *Driver) Announce(duty, body string) (seq uint64) { return d.holder.Announce(duty, body) }

// Resign is for the Watcher: another member is to take the duty.
func (d *Driver) Resign(duty string) { d.holder.Resign(d.now(), duty) }

// Now is the driver's clock.
func (d *Driver) Now() time.Duration { return d.now() }

// SetClaimPosition tells this member's turn to claim a duty that comes free.
func (d *Driver) SetClaimPosition(duty string, place int) {
	d.do(func() { d.holder.SetClaimPosition(duty, place) })
}

// Drain gives up all duties, and waits until the log has replaced this process's vote, for so long at most: one that ends with
// its vote is a fault that the others have to bear. Its record says before that it leaves. Stop after it ends the log here.
func (d *Driver) Drain(within time.Duration) {
	done := make(chan struct{})
	d.do(func() { d.holder.Drain(d.now()); close(done) })
	select {
	case <-done:
	case <-d.stop:
		return
	}
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for over := time.After(within); slices.Contains(d.Log.Voters(), d.process); {
		select {
		case <-look.C:
		case <-over:
			return
		case <-d.stop:
			return
		}
	}
}

// Stop ends the log and the driver.
func (d *Driver) Stop() {
	close(d.stop)
	d.done.Wait()
	_ = d.Log.Stop()
}
