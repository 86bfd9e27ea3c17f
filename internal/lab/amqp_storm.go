package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
)

const (
	stormRedeliveries     = 5 // of each message, although it was acked
	maxMemoryGrowthFactor = 1.3
	memoryTolerance       = 4 * bytesPerMB // beyond maxMemoryGrowthFactor
)

// AMQPStorm is the experiment on redelivery: each message is delivered six times, acked or not, to two consumers with a small
// prefetch limit. The claim: memory does not grow with the deliveries, and no message causes further messages for ever.
func AMQPStorm(options Options) (*Report, error) {
	e := brokerExperiment{options}
	report := &Report{}
	recorded, err := newRecordedBroker()
	if err != nil {
		return report, err
	}
	defer recorded.broker.Close()
	recorded.broker.Redeliveries = stormRedeliveries
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

// awaitStormEnd waits until the queue is empty, and returns the memory in bytes when each message has been delivered about once.
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

// checkStorm checks the claim. A message that is rejected is published again or dead-lettered, which ends it; nothing else may
// cause deliveries.
func checkStorm(report *Report, size, deliveries int, earlyMemory, endMemory int64) {
	if maxDeliveries := (stormRedeliveries + 1) * size; deliveries > maxDeliveries {
		report.AddFault("%d deliveries, expected at most %d: messages loop", deliveries, maxDeliveries)
	}
	if float64(endMemory) > maxMemoryGrowthFactor*float64(earlyMemory)+memoryTolerance {
		report.AddFault("memory grew from %d to %d bytes", earlyMemory, endMemory)
	}
}
