package policy

// maxAverageSamples is the number of samples over which a moving average is taken at most.
const maxAverageSamples = 16

// updateAverage adds a sample to a mean of pastSamples samples; more than maxAverageSamples-1 past samples
// count as that many. With a count that grows from 0 the result is the arithmetic mean at first; with a
// constant it is an exponential moving average.
func updateAverage(mean *float64, sample, pastSamples float64) {
	*mean += (sample - *mean) / min(pastSamples+1, maxAverageSamples)
}
