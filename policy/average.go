package policy

// maxAverageWindow is the number of samples over which a moving average is taken at most.
const maxAverageWindow = 16

// updateAverage moves a mean by a sample. The sample weighs as one in seen+1, and at least as one in
// maxAverageWindow: with a growing seen it is the plain mean at first, with a fixed one an exponential
// moving average.
func updateAverage(mean *float64, sample, seen float64) {
	*mean += (sample - *mean) / min(seen+1, maxAverageWindow)
}
