package policy

import (
	"slices"
	"time"
)

// removeValue removes the first element equal to value. It modifies the list in place and returns the result.
func removeValue[T comparable](list []T, value T) []T {
	if index := slices.Index(list, value); index >= 0 {
		return slices.Delete(list, index, index+1)
	}
	return list
}

// removeExpired removes the expiry times up to now. It modifies the list in place and returns the result.
func removeExpired(times []time.Duration, now time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(expiresAt time.Duration) bool { return expiresAt <= now })
}
