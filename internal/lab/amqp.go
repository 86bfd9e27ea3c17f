package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/invariant"
	"thymechute/internal/lab/rig"
)

const (
	maxReadyMessages = 20_000                 // published ahead of the consumers
	stallTimeout     = 200 * time.Millisecond // without a delivery while consumers have unacked messages
	drainedTime      = 300 * time.Millisecond // for which the queue must stay empty to count as drained
	progressInterval = 5 * time.Second
	minCostSize      = 500 // messages
)

// AMQP is the experiment on the AMQP consumer: two instances at a broker that loses acks, closes connections within a batch and
// restarts once, with one instance killed and started anew; then the CPU cost beside the JSON-RPC front.
func AMQP(options Options) (*Report, error) {
	r := run{options}
	report := &Report{}
	if err := r.amqpFaults(report); err != nil {
		return report, err
	}
	r.Size = max(r.Size/5, minCostSize)
	return report, r.amqpCost(report)
}

// amqpFaults runs the part with faults.
func (r run) amqpFaults(report *Report) error {
	recorded, err := newRecordedBroker(r.amqpFaultScript()...)
	if err != nil {
		return err
	}
	defer recorded.broker.Close()
	pair, err := recorded.launchPair(r, ` least-credit="32"`)
	defer pair.end()
	if err != nil {
		return err
	}
	r.Progress(fmt.Sprintf("%d messages, half of them %s", r.Size, rig.ClassExcursion))
	f := &faultRun{run: r, recorded: recorded, pair: pair, lastDelivery: time.Now(), lastProgress: time.Now()}
	begin := time.Now()
	drainError, err := f.untilDrained(begin.Add(maxRunTime))
	if err != nil {
		return err
	}
	if drainError != "" {
		report.AddFault("%s", drainError)
	}
	took := time.Since(begin)
	f.noteMemory(pair.memory())
	pair.drain(report)
	recorded.report(report, r.Size, f.maxMemory)
	report.AddFigure("drain_s", took.Seconds())
	return nil
}

// amqpFaultScript drops every twentieth ack and closes the connection after some deliveries, at places that the seed determines.
func (r run) amqpFaultScript() []broker.Fault {
	const ackInterval = 20
	cutInterval := max(r.Size/200, 500)
	return []broker.Fault{
		{Point: broker.AtSettle, Nth: 1 + int(r.Seed%ackInterval), Every: ackInterval, Action: broker.DropAck},
		{Point: broker.AtDeliver, Nth: cutInterval + int(r.Seed%7), Every: cutInterval, Action: broker.CutAfter},
	}
}

// faultRun is the state of the part with faults.
type faultRun struct {
	run
	recorded     *recordedBroker
	pair         *instancePair
	published    int
	deliveries   int
	lastDelivery time.Time
	lastProgress time.Time
	drainedSince time.Time // zero while messages are left
	killed       bool
	restarted    bool
	maxMemory    int64 // bytes, of either instance
}

// untilDrained publishes all messages and injects the faults until the queue is drained. A queue that is not drained at the end
// gives drainError.
func (f *faultRun) untilDrained(end time.Time) (drainError string, err error) {
	for {
		state := f.publish(f.recorded.broker.QueueState(readingsQueue))
		f.cutStalledConnection(state)
		succeeded := f.recorded.outcomeCount(invariant.Succeeded)
		f.reportProgress(succeeded, state)
		if err := f.killOnce(succeeded); err != nil {
			return "", err
		}
		f.restartOnce(succeeded)
		if f.isDrained(state) {
			return "", nil
		}
		if time.Now().After(end) {
			return notDrained(state), nil
		}
		time.Sleep(pollInterval)
	}
}

// publish fills the queue up to maxReadyMessages.
func (f *faultRun) publish(state broker.QueueState) broker.QueueState {
	for ; f.published < f.Size && state.Ready < maxReadyMessages; f.published++ {
		f.recorded.publishNext(f.published)
		state.Ready++
	}
	return state
}

// cutStalledConnection closes a connection whose acks were lost: they use up its prefetch limit for good, and brokers close such
// a connection after a timeout.
func (f *faultRun) cutStalledConnection(state broker.QueueState) {
	deliveries := f.recorded.broker.EventCount(broker.EventDelivered)
	if deliveries != f.deliveries {
		f.deliveries, f.lastDelivery = deliveries, time.Now()
		return
	}
	if state.Consumers > 0 && state.Unacked > 0 && time.Since(f.lastDelivery) > stallTimeout {
		f.recorded.broker.CutNewestConn()
		f.lastDelivery = time.Now()
	}
}

func (f *faultRun) reportProgress(succeeded int, state broker.QueueState) {
	if time.Since(f.lastProgress) <= progressInterval {
		return
	}
	f.lastProgress = time.Now()
	f.Progress(fmt.Sprintf("%d succeeded, %d connections lost, %+v", succeeded, f.recorded.broker.EventCount(broker.EventConnLost), state))
}

// killOnce kills the second instance after a third of the messages, and starts it anew without its state.
func (f *faultRun) killOnce(succeeded int) (err error) {
	if f.killed || succeeded <= f.Size/3 {
		return nil
	}
	f.killed = true
	f.Progress("n2 is killed and starts without state")
	f.noteMemory(f.pair.instances[1].PeakMemory())
	f.pair.instances[1].Kill()
	f.pair.instances[1], err = f.launch(instanceName(1), f.pair.runtimes[1], settingsPath(f.Folder), f.Seed+9)
	return err
}

// restartOnce restarts the broker after half of the messages.
func (f *faultRun) restartOnce(succeeded int) {
	if f.restarted || succeeded <= f.Size/2 {
		return
	}
	f.restarted = true
	f.Progress("the broker restarts")
	f.recorded.broker.Restart()
}

// isDrained reports whether all messages were published and the queue has been empty for drainedTime.
func (f *faultRun) isDrained(state broker.QueueState) bool {
	if f.published < f.Size || state.Ready > 0 || state.Unacked > 0 {
		f.drainedSince = time.Time{}
		return false
	}
	if f.drainedSince.IsZero() {
		f.drainedSince = time.Now()
	}
	return time.Since(f.drainedSince) > drainedTime
}

func (f *faultRun) noteMemory(bytes int64) { f.maxMemory = max(f.maxMemory, bytes) }

func notDrained(state broker.QueueState) string {
	return fmt.Sprintf("not drained after %v: %+v", maxRunTime, state)
}
