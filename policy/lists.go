package policy

import (
	"slices"
	"time"
)

// removeValue removes the first element that equals value. It changes the list in place and returns it.
func removeValue[T comparable](list []T, value T) []T {
	if index := slices.Index(list, value); index >= 0 {
		return slices.Delete(list, index, index+1)
	}
	return list
}

// removeExpired removes the times up to now. It changes the list in place and returns it.
func removeExpired(times []time.Duration, now time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(expiresAt time.Duration) bool { return expiresAt <= now })
}
