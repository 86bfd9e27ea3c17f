package settings

import (
	"math"
	"time"
)

// maxSeconds is the maximum duration; a longer one is reduced to it. It fits into a time.Duration.
const maxSeconds = 1e9

// Number is a finite non-negative number, or missing. The zero value is missing.
type Number struct {
	value float64
	isSet bool
}

// NumberOf returns x as a Number, which is missing if x is negative, infinite or not a number.
func NumberOf(x float64) Number {
	if x >= 0 && !math.IsInf(x, 0) {
		return Number{x, true}
	}
	return Number{}
}

// Or returns the number, or defaultValue if it is missing.
func (n Number) Or(defaultValue float64) float64 {
	if n.isSet {
		return n.value
	}
	return defaultValue
}

// Seconds returns the number, or defaultValue if it is missing, as a duration in seconds of at most
// maxSeconds.
func (n Number) Seconds(defaultValue float64) time.Duration {
	return time.Duration(min(n.Or(defaultValue), maxSeconds) * float64(time.Second))
}

// Flag is true, false or missing.
type Flag uint8

// The values of a Flag. The zero value is Missing.
const (
	Missing Flag = iota
	False
	True
)

// FlagOf converts a bool to a Flag.
func FlagOf(value bool) Flag {
	if value {
		return True
	}
	return False
}

// On reports whether the flag is True. A missing flag is neither on nor off.
func (f Flag) On() bool { return f == True }

// Off reports whether the flag is False. A missing flag is neither on nor off.
func (f Flag) Off() bool { return f == False }
