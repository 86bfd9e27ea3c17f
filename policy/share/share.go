// Package share owns what one tenant may send to one server within its part of the fleet: a bucket of items
// that fills at the told rate. It must never turn an item away: whoever asks decides what beyond means.
package share

import "time"

const slack = 8.0 // items that may come at once, where two seconds' share is less

// Bucket is of one tenant; Quota is items a second to the whole fleet, of which 0 sets no bound.
type Bucket struct{ Quota, tokens, seen float64 }

// New is a full bucket.
func New() Bucket { return Bucket{seen: -1e9} }

// Beyond takes one item that comes now, and tells whether it is over this server's part in a fleet.
func (b *Bucket) Beyond(now time.Duration, fleet float64) bool {
	rate := b.Quota / max(fleet, 1)
	if rate <= 0 {
		return false
	}
	b.tokens = min(b.tokens+rate*(now.Seconds()-b.seen), max(2*rate, slack))
	b.seen = now.Seconds()
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
