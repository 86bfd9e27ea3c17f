// This file owns what is worked out of samples.

package stub

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestKept = int64(10 * time.Minute / time.Microsecond)
	digits      = 3 // significant, of a histogram's values
)

// Distribution is a histogram of times; quantiles are right to three digits.
type Distribution struct{ counts *hdrhistogram.Histogram }

// NewDistribution is an empty one.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, longestKept, digits)}
}

// Add counts a time; under a microsecond counts as one, over ten minutes as ten minutes.
func (d *Distribution) Add(t time.Duration) {
	_ = d.counts.RecordValue(min(max(t.Microseconds(), 1), longestKept))
}

// At is the time that so many of 100 don't pass.
func (d *Distribution) At(percent float64) time.Duration {
	return time.Duration(d.counts.ValueAtQuantile(percent)) * time.Microsecond
}

// Longest is the longest time.
func (d *Distribution) Longest() time.Duration {
	return time.Duration(d.counts.Max()) * time.Microsecond
}

// Count is how many there are.
func (d *Distribution) Count() int { return int(d.counts.TotalCount()) }

// Latencies are those of all requests, with or without an answer.
func (s Samples) Latencies() *Distribution {
	d := NewDistribution()
	for _, sample := range s {
		d.Add(sample.Latency)
	}
	return d
}

// Lateness is the generator's own: how late it sent what was due.
func (s Samples) Lateness() *Distribution {
	d := NewDistribution()
	for _, sample := range s {
		d.Add(sample.Late)
	}
	return d
}

// Count is how many ended so.
func (s Samples) Count(outcome Outcome) (count int) {
	for _, sample := range s {
		if sample.Outcome == outcome {
			count++
		}
	}
	return count
}

// Merge adds all times of the other.
func (d *Distribution) Merge(other *Distribution) { d.counts.Merge(other.counts) }
