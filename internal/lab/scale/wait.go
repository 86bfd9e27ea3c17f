package scale

import (
	"context"
	"time"
)

// Wait waits for the duration, or until the context ends, whose error it returns then.
func Wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Milliseconds returns a duration in milliseconds, with its fraction.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
