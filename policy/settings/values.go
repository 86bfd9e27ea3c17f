package settings

import (
	"math"
	"time"
)

// maxSeconds bounds a duration, so that it fits a time.Duration; a longer one is cut to it.
const maxSeconds = 1e9

// Number is a number of 0 or more, or missing, which is the zero value.
type Number struct {
	value float64
	isSet bool
}

// NumberOf makes a Number. One that is negative, infinite or not a number counts as missing.
func NumberOf(x float64) Number {
	if x >= 0 && !math.IsInf(x, 0) {
		return Number{x, true}
	}
	return Number{}
}

// Or returns the number, or the default where it is missing.
func (n Number) Or(byDefault float64) float64 {
	if n.isSet {
		return n.value
	}
	return byDefault
}

// Seconds returns the number as a duration in seconds, or that many seconds where it is missing; at most
// 1e9 seconds.
func (n Number) Seconds(byDefault float64) time.Duration {
	return time.Duration(min(n.Or(byDefault), maxSeconds) * float64(time.Second))
}

// Flag is true, false or missing.
type Flag uint8

// The flags; missing is the zero value.
const (
	Missing Flag = iota
	False
	True
)

// FlagOf makes a Flag that is not missing.
func FlagOf(on bool) Flag {
	if on {
		return True
	}
	return False
}

// On reports whether the flag is true. A missing one is neither on nor off.
func (f Flag) On() bool { return f == True }

// Off reports whether the flag is false. A missing one is neither on nor off.
func (f Flag) Off() bool { return f == False }
