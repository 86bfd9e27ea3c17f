// This file owns what the consumer's experiments share: a stand-in broker whose events are recorded, and two instances
// at it.

package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/fake/runtime"
	"thymechute/internal/invariant"
	"thymechute/internal/lab/rig"
)

const settingsFile = `<thymechute xmlns="urn:thymechute:operator:1">
  <amqp%s>
    <broker address="%s"/>
    <queue name="readings" dead-letter="given-up"/>
  </amqp>
</thymechute>
`

// recordedBroker is a broker with its queues, watched by a book.
type recordedBroker struct {
	b       *broker.Broker
	address string
	start   time.Time
	mu      sync.Mutex
	book    *invariant.Checker
	marks   map[string]invariant.Outcome // what a published copy says of a try's end
	ended   map[string]bool
	dead    int
}

// kinds is what the recorded rules know of a class.
func kinds(class string) invariant.Idempotency {
	switch class {
	case rig.Trace:
		return invariant.Safe
	case rig.Excursion:
		return invariant.Idempotent
	}
	return invariant.NonIdempotent
}

func newRecordedBroker(faults ...broker.Fault) (*recordedBroker, error) {
	b, err := broker.New(faults...)
	if err != nil {
		return nil, err
	}
	r := &recordedBroker{b: b, start: time.Now(), book: invariant.New(rig.Window), marks: map[string]invariant.Outcome{}, ended: map[string]bool{}}
	if err := b.DeclareReadings("given-up", nil); err != nil {
		return nil, err
	}
	b.Watch(r.event)
	r.address, err = b.Start("127.0.0.1:0")
	return r, err
}

// event enters what happens at the broker.
func (r *recordedBroker) event(e broker.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, try := time.Since(r.start), fmt.Sprintf("%d/%d", e.Conn, e.Tag)
	switch e.Kind {
	case "published":
		if e.Conn == 0 {
			return
		}
		if e.Queue == "dead" {
			r.dead++
			r.marks[e.Peer+e.ID] = invariant.Failed
		} else {
			r.marks[e.Peer+e.ID] = invariant.Rejected
		}
	case "delivered":
		r.book.Received(invariant.Attempt{ID: try, Item: e.ID, Instance: e.Peer, Idempotency: kinds(e.Type), Deadline: at + rig.CallerTimeout})
	case "acked", "ack-dropped":
		how := invariant.Succeeded
		if mark := r.marks[e.Peer+e.ID]; mark != "" {
			how = mark
			delete(r.marks, e.Peer+e.ID)
		}
		r.ended[try] = true
		r.book.Completed(at, try, how)
	case "requeued", "rejected":
		r.book.Completed(at, try, invariant.Failed)
	case "gone":
		if !r.ended[try] { // else its ack was lost, and it was answered
			r.book.Completed(at, try, invariant.CallerGone)
		}
		delete(r.ended, try)
		delete(r.marks, e.Peer+e.ID) // the copy went out, and the message will come again
	}
}

func (r *recordedBroker) started(instance string) func(string, []byte) {
	return func(class string, body []byte) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.book.Started(time.Since(r.start), instance, string(body), kinds(class))
	}
}

// launch starts two instances at the rig's broker, each with its own runtime; end ends all that is left of them.
func (r *recordedBroker) launch(program, folder, attributes string, seed uint64) (instances *[2]*rig.Instance, runtimes [2]string, end func(), err error) {
	instances = new([2]*rig.Instance)
	var ends []func()
	end = func() {
		for _, i := range instances {
			if i != nil {
				i.Kill()
			}
		}
		for _, f := range ends {
			f()
		}
	}
	settings, err := r.write(folder, attributes)
	if err != nil {
		return instances, runtimes, end, err
	}
	for n := range instances {
		name := fmt.Sprintf("n%d", n+1)
		var rt *runtime.Runtime
		if rt, runtimes[n], err = runtime.Start("127.0.0.1:0", rig.Brief, r.started(name)); err != nil {
			return instances, runtimes, end, err
		}
		ends = append(ends, rt.Close)
		if instances[n], err = rig.Launch(program, folder, name, runtimes[n], settings, rig.MemoryMB, seed+uint64(n)); err != nil {
			return instances, runtimes, end, err
		}
	}
	return instances, runtimes, end, nil
}

func (r *recordedBroker) settings(folder string) string { return filepath.Join(folder, "amqp.xml") }

// write puts the operator's file down.
func (r *recordedBroker) write(folder, attributes string) (path string, err error) {
	path = r.settings(folder)
	return path, os.WriteFile(path, fmt.Appendf(nil, settingsFile, attributes, r.address), 0o600)
}

// put publishes the nth message; every other one is of the class excursion.
func (r *recordedBroker) put(n int) { r.publish([]string{rig.Excursion, rig.Trace}[n%2], n) }

func (r *recordedBroker) publish(class string, n int) {
	id := fmt.Sprintf("m%d", n)
	r.b.Publish("", "readings", broker.Props{broker.Type: class, broker.MessageID: id, broker.Headers: broker.Table{"customer": "acme"}}, []byte(id))
}

// report says what the book has, once the instances are gone.
func (r *recordedBroker) report(to *Report, size int, most int64) {
	s, unknown := r.b.QueueState("readings"), r.b.EventCount("unknown-tag")
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.book
	b.Finish()
	b.CheckMemory("instances", most, rig.MemoryMB<<20)
	to.Put("messages", float64(size))
	to.Put("read", float64(b.AttemptCount()))
	to.Put("fulfilled", float64(b.OutcomeCount(invariant.Succeeded)))
	to.Put("turned_back", float64(b.OutcomeCount(invariant.Rejected)))
	to.Put("scrapped", float64(b.OutcomeCount(invariant.Failed)))
	to.Put("caller_gone", float64(b.OutcomeCount(invariant.CallerGone)))
	to.Put("dead_lettered", float64(r.dead))
	to.Put("ran_messages", float64(b.ExecutedItems()))
	to.Put("acks_dropped", float64(r.b.EventCount("ack-dropped")))
	to.Put("connections_lost", float64(r.b.EventCount("lost")))
	to.Zero("unsettled_at_broker", s.Ready+s.Unacked)
	to.Zero("ended_twice", b.DuplicateOutcomes+unknown)
	to.Zero("late", b.LateOutcomes)
	to.Zero("double_runs_one_instance", b.DoubleRunsPerInstance)
	to.Zero("double_runs_all", b.DoubleRunsAll)
	to.Zero("breaches", len(b.Violations()))
	for _, x := range b.Violations()[:min(len(b.Violations()), 5)] {
		to.Fault("%s", x.String())
	}
	if lost := size - b.ExecutedItems() - r.dead; lost > 0 {
		to.Fault("%d messages neither ran nor are dead letters", lost)
	}
	to.Put("most_memory_mb", float64(most)/(1<<20))
}
