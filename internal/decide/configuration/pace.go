// This file owns how many bytes a server may send for what it pushes and repairs. It must never let more through in any
// window than its budget.

package configuration

import "time"

const paceBins = 13 // any window of twelve bins' length lies within thirteen bins

// Pace bounds bytes over a sliding window of twelve bins: at most Budget in any of them.
type Pace struct {
	Bin    time.Duration
	Budget int // bytes
	bins   [paceBins]int
	sum    int
	at     int64 // the present bin's number
}

// take tells whether so many bytes may go now, and counts them where they may.
func (p *Pace) take(now time.Duration, bytes int) bool {
	bin := int64(now / p.Bin)
	if bin-p.at >= paceBins {
		p.bins, p.sum, p.at = [paceBins]int{}, 0, bin
	}
	for p.at < bin {
		p.at++
		p.sum -= p.bins[p.at%paceBins]
		p.bins[p.at%paceBins] = 0
	}
	if p.sum+bytes > p.Budget {
		return false
	}
	p.bins[bin%paceBins] += bytes
	p.sum += bytes
	return true
}
