package decisions

import (
	"runtime"
	"slices"
	"time"
)

const (
	maxTimingTime = 3 * time.Second // for the samples of one decision; the remaining ones are skipped
	minSamples    = 5
	heapCopies    = 64 // values over which the heap size is averaged
)

// decisionTimes are statistics over the samples of one decision's time.
type decisionTimes struct{ p50, p99, max time.Duration }

// timeDecision runs a decision up to samples times and measures each run. An initial run that warms the caches is not measured.
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
	return decisionTimes{p50: took[n/2], p99: took[(n*99-1)/100], max: took[n-1]}
}

// meanHeapBytes returns the mean heap size, in bytes, of the values that construct returns.
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
