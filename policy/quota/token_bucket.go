// Package quota limits the request rate of one tenant at one server with a token bucket. The configured rate
// is for the whole fleet; each server enforces an equal part of it. A bucket only reports whether a request
// is within the quota; the caller decides what happens to requests beyond it. A bucket is not safe for
// concurrent use.
package quota

import "time"

const (
	// minBurst is the least capacity of a bucket, in requests.
	minBurst = 8.0
	// burstSeconds is the capacity of a bucket in seconds of its rate, where that is more than minBurst.
	burstSeconds = 2
	// longBeforeStart is a time in seconds so early that a bucket last filled then is full.
	longBeforeStart = -1e9
)

// TokenBucket is the quota of one tenant.
type TokenBucket struct {
	FleetRate float64 // requests per second, of the whole fleet; 0: no limit

	tokens   float64
	filledAt float64 // seconds since the server's start
}

// NewTokenBucket returns a full bucket without a limit.
func NewTokenBucket() TokenBucket { return TokenBucket{filledAt: longBeforeStart} }

// Allow takes a token for a request that arrives now, and reports whether there was one. now is the time
// since the server's start and must not decrease between calls. fleetSize is the number of servers that share
// the rate; less than 1 counts as 1.
func (b *TokenBucket) Allow(now time.Duration, fleetSize float64) bool {
	rate := b.FleetRate / max(fleetSize, 1)
	if rate <= 0 {
		return true
	}
	refill := rate * (now.Seconds() - b.filledAt)
	b.tokens = min(b.tokens+refill, max(burstSeconds*rate, minBurst))
	b.filledAt = now.Seconds()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
