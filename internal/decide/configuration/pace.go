// This file owns how many bytes a server may send for what it pushes and repairs. It must never let more through than
// its burst and its rate allow.

package configuration

import "time"

// Pace is a token bucket. Rate is bytes a second, Burst bytes at once.
type Pace struct {
	Rate, Burst float64
	spent       float64
	at          time.Duration
}

// take tells whether so many bytes may go now, and counts them where they may.
func (p *Pace) take(now time.Duration, bytes int) bool {
	p.spent = max(0, p.spent-p.Rate*(now-p.at).Seconds())
	p.at = now
	if p.spent+float64(bytes) > p.Burst {
		return false
	}
	p.spent += float64(bytes)
	return true
}
