// Package share owns what one customer may send to one server within its part of the fleet: a bucket of items
// that fills at the told rate. It must never turn an item away: whoever asks decides what beyond means.
package share

import "time"

const slack = 8.0 // items that may come at once, where two seconds' share is less

// Bucket is of one customer; Rate is items a second, of which 0 sets no bound.
type Bucket struct{ Rate, tokens, seen float64 }

// New is a full bucket.
func New() Bucket { return Bucket{seen: -1e9} }

// Beyond takes one item that comes now, and tells whether it is over the share.
func (b *Bucket) Beyond(now time.Duration) bool {
	if b.Rate <= 0 {
		return false
	}
	b.tokens = min(b.tokens+b.Rate*(now.Seconds()-b.seen), max(2*b.Rate, slack))
	b.seen = now.Seconds()
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
