package scale

import (
	"context"
	"time"
)

// Wait waits for the duration. It returns the context's error if the context ends first.
func Wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Milliseconds returns a duration in milliseconds, including the fraction.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
