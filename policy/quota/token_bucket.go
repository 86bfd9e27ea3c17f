// Package quota implements the request rate quota of a tenant at one server as a token bucket. The configured
// rate is for the whole fleet; each server enforces an equal share of it. A bucket only reports whether a
// request is within the quota; the code that uses it decides what happens to requests over the quota.
// A bucket is not safe for concurrent use.
package quota

import "time"

const (
	// minBurst is the minimum capacity of a bucket, in requests.
	minBurst = 8.0
	// burstSeconds is the capacity of a bucket in seconds of its rate, if that exceeds minBurst.
	burstSeconds = 2
	// longBeforeStart is a time in seconds since the server's start, so early that a bucket last filled then
	// is full.
	longBeforeStart = -1e9
)

// TokenBucket is the quota of one tenant.
type TokenBucket struct {
	FleetRate float64 // requests per second for the whole fleet; 0: no limit

	tokens   float64
	filledAt float64 // time of the last refill, in seconds since the server's start
}

// NewTokenBucket returns a bucket without a limit. It is full once FleetRate is set.
func NewTokenBucket() TokenBucket { return TokenBucket{filledAt: longBeforeStart} }

// Allow takes a token for a request that arrives now and reports whether one was available; without a limit
// it returns true. now is the time since the server's start and must not decrease between calls. fleetSize is
// the number of servers that share the rate; a value below 1 counts as 1.
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
