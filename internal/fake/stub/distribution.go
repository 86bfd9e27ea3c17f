package stub

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // of the histogram's values
)

// Distribution is a histogram of durations from 1 µs to 10 minutes, with three significant digits.
type Distribution struct{ histogram *hdrhistogram.Histogram }

// NewDistribution creates an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

// Add records a duration, clamped to 1 µs and 10 minutes.
func (d *Distribution) Add(t time.Duration) {
	_ = d.histogram.RecordValue(min(max(t.Microseconds(), 1), maxMicroseconds))
}

// Percentile is the duration that percent (0 to 100) of the recorded ones do not exceed.
func (d *Distribution) Percentile(percent float64) time.Duration {
	return time.Duration(d.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// Max is the longest recorded duration.
func (d *Distribution) Max() time.Duration {
	return time.Duration(d.histogram.Max()) * time.Microsecond
}

// Count is the number of recorded durations.
func (d *Distribution) Count() int { return int(d.histogram.TotalCount()) }

// Merge adds all durations of other.
func (d *Distribution) Merge(other *Distribution) { d.histogram.Merge(other.histogram) }

// Latencies is the distribution of the latencies of all requests, with or without an answer.
func (s Samples) Latencies() *Distribution {
	d := NewDistribution()
	for _, sample := range s {
		d.Add(sample.Latency)
	}
	return d
}

// SendDelays is the distribution of the generator's own delays.
func (s Samples) SendDelays() *Distribution {
	d := NewDistribution()
	for _, sample := range s {
		d.Add(sample.SendDelay)
	}
	return d
}

// Count is the number of requests with that outcome.
func (s Samples) Count(outcome Outcome) (count int) {
	for _, sample := range s {
		if sample.Outcome == outcome {
			count++
		}
	}
	return count
}
