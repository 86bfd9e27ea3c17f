// This file owns the timing of a decision and the size of a table on the heap.

package decisions

import (
	"runtime"
	"slices"
	"time"
)

type times struct{ p50, p99, worst time.Duration }

const (
	longestTiming = 3 * time.Second // of one decision's samples; the rest is left out
	leastSamples  = 5
)

// timed runs a decision so often, each time alone; the first run, which grows caches, is not counted.
func timed(samples int, decide func(sample int)) times {
	decide(0)
	var took []time.Duration
	for begin := time.Now(); len(took) < samples && (len(took) < leastSamples || time.Since(begin) < longestTiming); {
		start := time.Now()
		decide(len(took))
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	n := len(took)
	return times{p50: took[n/2], p99: took[(n*99-1)/100], worst: took[n-1]}
}

// heapOf is the bytes on the heap of one of what make makes, by many of them.
func heapOf(make func() any) float64 {
	const copies = 64
	var before, after runtime.MemStats
	held := [copies]any{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range held {
		held[n] = make()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0) / copies
}
