package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
	"thymechute/internal/invariant"
	"thymechute/internal/lab/rig"
)

const (
	maxReadyMessages = 20_000                 // in the queue; publishing pauses at this length
	stallTimeout     = 200 * time.Millisecond // without a delivery, while messages are unacked, until a connection is cut
	minDrainedTime   = 300 * time.Millisecond // for which the queue must stay empty to be drained
	progressInterval = 5 * time.Second
	minCostMessages  = 500
)

// AMQP is the experiment on the AMQP consumer. In its first part, two instances consume from a broker that drops acks, closes
// connections within a batch and restarts once; one instance is killed and started again. The second part compares the CPU time
// per message with that per request of the JSON-RPC front.
func AMQP(options Options) (*Report, error) {
	e := brokerExperiment{options}
	report := &Report{}
	if err := e.runWithFaults(report); err != nil {
		return report, err
	}
	e.Size = max(e.Size/5, minCostMessages)
	return report, e.compareFrontCosts(report)
}

// runWithFaults runs the part with faults and reports its figures.
func (e brokerExperiment) runWithFaults(report *Report) error {
	recorded, err := newRecordedBroker(e.amqpFaultScript()...)
	if err != nil {
		return err
	}
	defer recorded.broker.Close()
	pair, err := recorded.launchPair(e, ` least-credit="32"`)
	defer pair.close()
	if err != nil {
		return err
	}
	e.Progress(fmt.Sprintf("%d messages, half of them %s", e.Size, rig.IdempotentClass))
	f := &faultRun{brokerExperiment: e, recorded: recorded, pair: pair, lastDeliveryTime: time.Now(), lastProgressTime: time.Now()}
	begin := time.Now()
	drainError, err := f.runUntilDrained(begin.Add(maxRunTime))
	if err != nil {
		return err
	}
	if drainError != "" {
		report.AddFault("%s", drainError)
	}
	took := time.Since(begin)
	f.recordPeakMemory(pair.peakMemory())
	pair.drain(report)
	recorded.report(report, e.Size, f.peakMemory)
	report.AddFigure("drain_s", took.Seconds())
	return nil
}

// amqpFaultScript returns the broker's faults: every twentieth ack is dropped, and a connection is closed after every
// cutInterval-th delivery. The seed determines the first of each.
func (e brokerExperiment) amqpFaultScript() []broker.Fault {
	const ackInterval = 20
	cutInterval := max(e.Size/200, 500)
	return []broker.Fault{
		{Point: broker.AtSettle, Nth: 1 + int(e.Seed%ackInterval), Every: ackInterval, Action: broker.DropAck},
		{Point: broker.AtDeliver, Nth: cutInterval + int(e.Seed%7), Every: cutInterval, Action: broker.CutAfter},
	}
}

// faultRun is the state of runWithFaults.
type faultRun struct {
	brokerExperiment
	recorded          *recordedBroker
	pair              *instancePair
	published         int
	lastDeliveryCount int
	lastDeliveryTime  time.Time
	lastProgressTime  time.Time
	drainedSince      time.Time // zero while messages are left
	killed            bool
	restarted         bool
	peakMemory        int64 // bytes, of either instance
}

// runUntilDrained publishes all messages and injects the faults until the queue is drained. If it is not drained by end, drainError
// describes its state.
func (f *faultRun) runUntilDrained(end time.Time) (drainError string, err error) {
	for {
		state := f.publishUpToLimit(f.recorded.broker.QueueState(readingsQueue))
		f.cutStalledConnection(state)
		succeeded := f.recorded.outcomeCount(invariant.Succeeded)
		f.reportProgress(succeeded, state)
		if err := f.killInstanceOnce(succeeded); err != nil {
			return "", err
		}
		f.restartBrokerOnce(succeeded)
		if f.isDrained(state) {
			return "", nil
		}
		if time.Now().After(end) {
			return formatNotDrained(state), nil
		}
		time.Sleep(pollInterval)
	}
}

// publishUpToLimit publishes messages while the queue has fewer than maxReadyMessages ready ones, and returns the queue's state with
// them.
func (f *faultRun) publishUpToLimit(state broker.QueueState) broker.QueueState {
	for ; f.published < f.Size && state.Ready < maxReadyMessages; f.published++ {
		f.recorded.publishNext(f.published)
		state.Ready++
	}
	return state
}

// cutStalledConnection closes the newest connection after stallTimeout without a delivery. Messages whose acks were dropped stay
// unacked and fill the prefetch limit until nothing more is delivered. Brokers close such a connection after a timeout.
func (f *faultRun) cutStalledConnection(state broker.QueueState) {
	deliveries := f.recorded.broker.EventCount(broker.EventDelivered)
	if deliveries != f.lastDeliveryCount {
		f.lastDeliveryCount, f.lastDeliveryTime = deliveries, time.Now()
		return
	}
	if state.Consumers > 0 && state.Unacked > 0 && time.Since(f.lastDeliveryTime) > stallTimeout {
		f.recorded.broker.CutNewestConn()
		f.lastDeliveryTime = time.Now()
	}
}

func (f *faultRun) reportProgress(succeeded int, state broker.QueueState) {
	if time.Since(f.lastProgressTime) <= progressInterval {
		return
	}
	f.lastProgressTime = time.Now()
	f.Progress(fmt.Sprintf("%d succeeded, %d connections lost, %+v", succeeded, f.recorded.broker.EventCount(broker.EventConnLost), state))
}

// killInstanceOnce kills the second instance after a third of the messages, and starts it again without state.
func (f *faultRun) killInstanceOnce(succeeded int) (err error) {
	if f.killed || succeeded <= f.Size/3 {
		return nil
	}
	f.killed = true
	f.Progress("killing n2 and restarting it without state")
	f.recordPeakMemory(f.pair.instances[1].PeakMemory())
	f.pair.instances[1].Kill()
	f.pair.instances[1], err = f.launch(instanceName(1), f.pair.runtimes[1], settingsPath(f.Folder), f.Seed+9)
	return err
}

// restartBrokerOnce restarts the broker after half of the messages.
func (f *faultRun) restartBrokerOnce(succeeded int) {
	if f.restarted || succeeded <= f.Size/2 {
		return
	}
	f.restarted = true
	f.Progress("restarting the broker")
	f.recorded.broker.Restart()
}

// isDrained reports whether all messages were published and the queue has been empty for minDrainedTime.
func (f *faultRun) isDrained(state broker.QueueState) bool {
	if f.published < f.Size || state.Ready > 0 || state.Unacked > 0 {
		f.drainedSince = time.Time{}
		return false
	}
	if f.drainedSince.IsZero() {
		f.drainedSince = time.Now()
	}
	return time.Since(f.drainedSince) > minDrainedTime
}

func (f *faultRun) recordPeakMemory(bytes int64) { f.peakMemory = max(f.peakMemory, bytes) }

func formatNotDrained(state broker.QueueState) string {
	return fmt.Sprintf("queue readings: not empty after %v: %+v", maxRunTime, state)
}
