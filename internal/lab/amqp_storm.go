package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
)

const (
	stormRedeliveries     = 5 // of each message, although it was acked
	maxMemoryGrowthFactor = 1.3
	memoryTolerance       = 4 * bytesPerMB // allowed in addition to the factor
)

// AMQPStorm is the experiment on redelivery: the broker delivers each message six times, acked or not, to two consumers with a
// small prefetch limit. The claims: memory does not grow with the number of deliveries, and republished messages do not cause
// further deliveries without end.
func AMQPStorm(options Options) (*Report, error) {
	e := brokerExperiment{options}
	report := &Report{}
	recorded, err := newRecordedBroker()
	if err != nil {
		return report, err
	}
	defer recorded.broker.Close()
	recorded.broker.RedeliveriesAfterAck = stormRedeliveries
	for n := range e.Size {
		recorded.publishNext(n)
	}
	e.Progress(fmt.Sprintf("%d messages ready, each delivered %d times", e.Size, stormRedeliveries+1))
	pair, err := recorded.launchPair(e, ` least-credit="8" most-credit="16"`)
	defer pair.close()
	if err != nil {
		return report, err
	}
	begin := time.Now()
	earlyMemory := e.awaitStormEnd(report, recorded, pair, begin.Add(maxRunTime))
	took := time.Since(begin)
	endMemory := pair.peakMemory()
	cpu := pair.cpuTime()
	pair.drain(report)
	recorded.report(report, e.Size, endMemory)
	deliveries := recorded.broker.EventCount(broker.EventDelivered)
	report.AddFigure("early_memory_mb", megabytes(earlyMemory))
	report.AddFigure("cpu_ms_per_delivery", milliseconds(cpu)/float64(max(deliveries, 1)))
	report.AddFigure("drain_s", took.Seconds())
	checkStorm(report, e.Size, deliveries, earlyMemory, endMemory)
	return report, nil
}

// awaitStormEnd waits until the queue is empty. It returns the peak memory in bytes as of the time when there were more deliveries
// than messages. A queue that is not empty at end is a fault of the report.
func (e brokerExperiment) awaitStormEnd(report *Report, recorded *recordedBroker, pair *instancePair, end time.Time) (earlyMemory int64) {
	for ; ; time.Sleep(pollInterval) {
		state := recorded.broker.QueueState(readingsQueue)
		if earlyMemory == 0 && recorded.broker.EventCount(broker.EventDelivered) > e.Size {
			earlyMemory = pair.peakMemory()
		}
		if state.Ready+state.Unacked == 0 {
			return earlyMemory
		}
		if time.Now().After(end) {
			report.AddFault("%s", formatNotDrained(state))
			return earlyMemory
		}
	}
}

// checkStorm checks the claims. A rejected message is republished or dead-lettered, and its original is then settled; this must not
// lead to more than stormRedeliveries+1 deliveries per message.
func checkStorm(report *Report, size, deliveries int, earlyMemory, endMemory int64) {
	if maxDeliveries := (stormRedeliveries + 1) * size; deliveries > maxDeliveries {
		report.AddFault("%d deliveries, expected at most %d: messages are republished without end", deliveries, maxDeliveries)
	}
	if float64(endMemory) > maxMemoryGrowthFactor*float64(earlyMemory)+memoryTolerance {
		report.AddFault("memory grew from %d to %d bytes, expected at most %v times the former plus %d bytes",
			earlyMemory, endMemory, maxMemoryGrowthFactor, memoryTolerance)
	}
}
