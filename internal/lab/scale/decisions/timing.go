package decisions

import (
	"runtime"
	"slices"
	"time"
)

const (
	maxTimingTime = 3 * time.Second // of one decision's samples; further ones are left out
	minSamples    = 5
	heapCopies    = 64
)

// decisionTimes are statistics of the time of one decision.
type decisionTimes struct{ p50, p99, worst time.Duration }

// timeDecision runs a decision up to samples times and measures each run. A first run, which grows caches, is not measured.
func timeDecision(samples int, decide func(sample int)) decisionTimes {
	decide(0)
	var took []time.Duration
	begin := time.Now()
	for len(took) < samples {
		if len(took) >= minSamples && time.Since(begin) >= maxTimingTime {
			break
		}
		start := time.Now()
		decide(len(took))
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	n := len(took)
	return decisionTimes{p50: took[n/2], p99: took[(n*99-1)/100], worst: took[n-1]}
}

// meanHeapBytes is the mean heap size, in bytes, of a value that construct returns.
func meanHeapBytes(construct func() any) float64 {
	var before, after runtime.MemStats
	values := [heapCopies]any{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range values {
		values[n] = construct()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(values)
	return max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0) / heapCopies
}
