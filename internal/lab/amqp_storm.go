package lab

import (
	"fmt"
	"time"

	"thymechute/internal/fake/broker"
)

const (
	stormRedeliveries = 5 // of each message, although it was acked
	maxMemoryGrowth   = 1.3
	memoryTolerance   = 4 * bytesPerMB // beyond maxMemoryGrowth
)

// AMQPStorm is the experiment on redelivery: each message is delivered six times, acked or not, to two consumers with a small
// prefetch limit. The claim: memory does not grow with the deliveries, and no message causes further messages for ever.
func AMQPStorm(program, folder string, seed uint64, size int, progress func(string)) (*Report, error) {
	r := run{program, folder, seed, size, progress}
	report := &Report{}
	recorded, err := newRecordedBroker()
	if err != nil {
		return report, err
	}
	defer recorded.broker.Close()
	recorded.broker.Redeliveries = stormRedeliveries
	for n := range size {
		recorded.publishNext(n)
	}
	progress(fmt.Sprintf("%d messages ready, each delivered %d times", size, stormRedeliveries+1))
	pair, err := recorded.launchPair(r, ` least-credit="8" most-credit="16"`)
	defer pair.end()
	if err != nil {
		return report, err
	}
	begin := time.Now()
	earlyMemory := r.awaitStormEnd(report, recorded, pair, begin.Add(maxRunTime))
	took, endMemory, cpu := time.Since(begin), pair.memory(), pair.cpu()
	pair.drain(report)
	recorded.report(report, size, endMemory)
	deliveries := recorded.broker.EventCount(broker.EventDelivered)
	report.Put("early_memory_mb", megabytes(earlyMemory))
	report.Put("cpu_ms_per_delivery", milliseconds(cpu)/float64(max(deliveries, 1)))
	report.Put("drain_s", took.Seconds())
	checkStorm(report, size, deliveries, earlyMemory, endMemory)
	return report, nil
}

// awaitStormEnd waits until the queue is empty, and returns the memory in bytes when each message has been delivered about once.
func (r run) awaitStormEnd(report *Report, recorded *recordedBroker, pair *instancePair, end time.Time) (earlyMemory int64) {
	for ; ; time.Sleep(pollInterval) {
		state := recorded.broker.QueueState(readingsQueue)
		if earlyMemory == 0 && recorded.broker.EventCount(broker.EventDelivered) > r.size {
			earlyMemory = pair.memory()
		}
		if state.Ready+state.Unacked == 0 {
			return earlyMemory
		}
		if time.Now().After(end) {
			report.Fault("%s", notDrained(state))
			return earlyMemory
		}
	}
}

// checkStorm checks the claim. A message that is rejected is published again or dead-lettered, which ends it; nothing else may
// cause deliveries.
func checkStorm(report *Report, size, deliveries int, earlyMemory, endMemory int64) {
	if maxDeliveries := (stormRedeliveries + 1) * size; deliveries > maxDeliveries {
		report.Fault("%d deliveries, expected at most %d: messages loop", deliveries, maxDeliveries)
	}
	if float64(endMemory) > maxMemoryGrowth*float64(earlyMemory)+memoryTolerance {
		report.Fault("memory grew from %d to %d bytes", earlyMemory, endMemory)
	}
}
