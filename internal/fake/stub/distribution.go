package stub

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // of the durations kept
)

// Distribution is a histogram of durations from 1 µs to 10 minutes, accurate to three significant digits.
type Distribution struct{ histogram *hdrhistogram.Histogram }

// NewDistribution creates an empty distribution.
func NewDistribution() *Distribution {
	return &Distribution{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

// Add records a duration, clamped to 1 µs and 10 minutes.
func (d *Distribution) Add(t time.Duration) {
	_ = d.histogram.RecordValue(min(max(t.Microseconds(), 1), maxMicroseconds))
}

// Percentile returns the duration that percent (0 to 100) of the recorded durations do not exceed.
func (d *Distribution) Percentile(percent float64) time.Duration {
	return time.Duration(d.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// Max returns the longest recorded duration.
func (d *Distribution) Max() time.Duration {
	return time.Duration(d.histogram.Max()) * time.Microsecond
}

// Count returns the number of recorded durations.
func (d *Distribution) Count() int { return int(d.histogram.TotalCount()) }

// Merge adds all durations of other.
func (d *Distribution) Merge(other *Distribution) { d.histogram.Merge(other.histogram) }

// Latencies returns the distribution of the latencies of all requests, answered or not.
func (s Samples) Latencies() *Distribution {
	d := NewDistribution()
	for _, sample := range s {
		d.Add(sample.Latency)
	}
	return d
}

// SendDelays returns the distribution of the generator's delays, see Sample.SendDelay.
func (s Samples) SendDelays() *Distribution {
	d := NewDistribution()
	for _, sample := range s {
		d.Add(sample.SendDelay)
	}
	return d
}

// Count returns the number of requests with the outcome.
func (s Samples) Count(outcome Outcome) (count int) {
	for _, sample := range s {
		if sample.Outcome == outcome {
			count++
		}
	}
	return count
}
