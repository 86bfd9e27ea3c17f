package policy

// maxAverageSamples is the maximum number of samples that a moving average covers.
const maxAverageSamples = 16

// updateAverage adds a sample to a mean of pastSamples earlier samples, so the sample has a weight of
// 1/(pastSamples+1), but at least 1/maxAverageSamples. If pastSamples counts up from 0, the result is the
// arithmetic mean until the minimum weight is reached; if it is constant, the result is an exponential moving
// average.
func updateAverage(mean *float64, sample, pastSamples float64) {
	*mean += (sample - *mean) / min(pastSamples+1, maxAverageSamples)
}
