package policy

import (
	"slices"
	"time"
)

// without removes the first element that equals value; the list is changed in place.
func without[T comparable](list []T, value T) []T {
	if at := slices.Index(list, value); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// withoutExpired removes the times that are over; the list is changed in place.
func withoutExpired(times []time.Duration, now time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(end time.Duration) bool { return end <= now })
}
