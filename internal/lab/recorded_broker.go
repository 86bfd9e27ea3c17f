package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/invariant"
	"thymechute/internal/lab/rig"
)

const (
	readingsQueue      = "readings"
	deadLetterQueue    = "dead"
	deadLetterExchange = "given-up"
	maxReportedFaults  = 5 // violations that a report describes; the others are only counted
)

const settingsTemplate = `<thymechute xmlns="urn:thymechute:operator:1">
  <amqp%s>
    <broker address="%s"/>
    <queue name="readings" dead-letter="given-up"/>
  </amqp>
</thymechute>
`

// recordedBroker is a fake broker whose events, with those of the fake runtimes, are recorded in a checker of the invariants.
type recordedBroker struct {
	broker  *broker.Broker
	address string
	start   time.Time

	mu           sync.Mutex
	checker      *invariant.Checker
	republished  map[messageKey]invariant.Outcome // originals that were republished but not yet acked: the outcome of their attempt
	acked        map[string]bool                  // attempts that were acked; removed when their connection ends
	deadLettered int
}

// messageKey identifies a message at one consumer.
type messageKey struct{ peer, id string }

// idempotencyOf returns the idempotency of a class of messages.
func idempotencyOf(class string) invariant.Idempotency {
	switch class {
	case rig.SafeClass:
		return invariant.Safe
	case rig.IdempotentClass:
		return invariant.Idempotent
	}
	return invariant.NonIdempotent
}

// newRecordedBroker starts a broker that injects these faults. The caller closes it by its field broker.
func newRecordedBroker(faults ...broker.Fault) (*recordedBroker, error) {
	b, err := broker.New(faults...)
	if err != nil {
		return nil, err
	}
	r := &recordedBroker{broker: b, start: time.Now(), checker: invariant.New(rig.IdempotencyWindow),
		republished: map[messageKey]invariant.Outcome{}, acked: map[string]bool{}}
	if err := b.DeclareReadings(deadLetterExchange, nil); err != nil {
		return nil, err
	}
	b.Watch(r.observe)
	r.address, err = b.Start("127.0.0.1:0")
	return r, err
}

// observe reports an event of the broker to the checker. An attempt is a delivery: its ID is made of the connection and the tag.
func (r *recordedBroker) observe(e broker.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.start)
	attempt := fmt.Sprintf("%d/%d", e.Conn, e.Tag)
	key := messageKey{e.Peer, e.ID}
	switch e.Kind {
	case broker.EventPublished:
		r.observePublished(e, key)
	case broker.EventDelivered:
		r.checker.Received(invariant.Attempt{ID: attempt, Item: e.ID, Instance: e.Peer, Idempotency: idempotencyOf(e.Type),
			Deadline: now + rig.CallerTimeout})
	case broker.EventAcked, broker.EventAckDropped:
		outcome := invariant.Succeeded
		if republished := r.republished[key]; republished != "" {
			outcome = republished
			delete(r.republished, key)
		}
		r.acked[attempt] = true
		r.checker.Completed(now, attempt, outcome)
	case broker.EventRequeued, broker.EventRejected:
		r.checker.Completed(now, attempt, invariant.Failed)
	case broker.EventAutoRequeued:
		if !r.acked[attempt] { // otherwise it was acked and the ack was dropped
			r.checker.Completed(now, attempt, invariant.CallerGone)
		}
		delete(r.acked, attempt)
		delete(r.republished, key) // the message will be redelivered
	}
}

// observePublished records that a consumer republished a message, as a dead letter or for a retry. It acks the original afterwards.
func (r *recordedBroker) observePublished(e broker.Event, key messageKey) {
	if e.Conn == 0 { // published by the experiment
		return
	}
	if e.Queue == deadLetterQueue {
		r.deadLettered++
		r.republished[key] = invariant.Failed
	} else {
		r.republished[key] = invariant.Rejected
	}
}

// taskObserver returns the function that the fake runtime of an instance calls for each task that starts.
func (r *recordedBroker) taskObserver(instance string) func(class string, body []byte) {
	return func(class string, body []byte) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.checker.Started(time.Since(r.start), instance, string(body), idempotencyOf(class))
	}
}

// outcomeCount returns the number of attempts that have ended with an outcome so far.
func (r *recordedBroker) outcomeCount(outcome invariant.Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checker.OutcomeCount(outcome)
}

func settingsPath(folder string) string { return filepath.Join(folder, "amqp.xml") }

// writeSettings writes the operator's file to the folder; attributes are added to its amqp element.
func (r *recordedBroker) writeSettings(folder, attributes string) (path string, err error) {
	path = settingsPath(folder)
	return path, os.WriteFile(path, fmt.Appendf(nil, settingsTemplate, attributes, r.address), 0o600)
}

// publishNext publishes message n, counted from 0. The class alternates between IdempotentClass and SafeClass.
func (r *recordedBroker) publishNext(n int) {
	classes := []string{rig.IdempotentClass, rig.SafeClass}
	r.publish(classes[n%len(classes)], n)
}

// publish publishes message n. Its ID is also its body, by which taskObserver identifies it.
func (r *recordedBroker) publish(class string, n int) {
	id := fmt.Sprintf("m%d", n)
	props := broker.Props{broker.Type: class, broker.MessageID: id, broker.Headers: broker.Table{"customer": "acme"}}
	r.broker.Publish("", readingsQueue, props, []byte(id))
}

// report adds the figures and the violations to a report, once the instances have ended. maxMemory is in bytes.
func (r *recordedBroker) report(report *Report, size int, maxMemory int64) {
	state := r.broker.QueueState(readingsQueue)
	unknownTags := r.broker.EventCount(broker.EventUnknownTag)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.checker
	c.Finish()
	c.CheckMemory("instances", maxMemory, rig.MemoryMB*bytesPerMB)
	report.AddFigure("messages", float64(size))
	report.AddFigure("read", float64(c.AttemptCount()))
	report.AddFigure("fulfilled", float64(c.OutcomeCount(invariant.Succeeded)))
	report.AddFigure("turned_back", float64(c.OutcomeCount(invariant.Rejected)))
	report.AddFigure("scrapped", float64(c.OutcomeCount(invariant.Failed)))
	report.AddFigure("caller_gone", float64(c.OutcomeCount(invariant.CallerGone)))
	report.AddFigure("dead_lettered", float64(r.deadLettered))
	report.AddFigure("ran_messages", float64(c.ExecutedItemCount()))
	report.AddFigure("acks_dropped", float64(r.broker.EventCount(broker.EventAckDropped)))
	report.AddFigure("connections_lost", float64(r.broker.EventCount(broker.EventConnLost)))
	report.ExpectZero("unsettled_at_broker", state.Ready+state.Unacked)
	report.ExpectZero("ended_twice", c.DuplicateAnswers+unknownTags)
	report.ExpectZero("late", c.LateAnswers)
	report.ExpectZero("double_runs_one_instance", c.DuplicateRunsSameInstance)
	report.ExpectZero("double_runs_all", c.DuplicateRuns)
	violations := c.Violations()
	report.ExpectZero("breaches", len(violations))
	for _, violation := range violations[:min(len(violations), maxReportedFaults)] {
		report.AddFault("%s", violation.String())
	}
	if lost := size - c.ExecutedItemCount() - r.deadLettered; lost > 0 {
		report.AddFault("%d messages were neither run nor dead-lettered, expected 0", lost)
	}
	report.AddFigure("most_memory_mb", megabytes(maxMemory))
}
