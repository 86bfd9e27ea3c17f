// Package random provides the pseudo-random number generator of the decision packages: a 32-bit multiply-with-carry
// generator whose whole state is one number, so that a run can be repeated from its seed. It is not safe for concurrent
// use and not suitable for cryptography.
package random

// Parameters of the generator. The low word of its state is the last output, the high word the carry.
const (
	multiplier   = 4294957665
	wordBits     = 32
	wordMask     = 1<<wordBits - 1
	initialCarry = 1
)

// Source is a generator. Its zero value returns only zeros; use New.
type Source uint64

// New returns a generator seeded with the low 32 bits of seed.
func New(seed uint64) Source { return Source(seed&wordMask | initialCarry<<wordBits) }

// Float64 returns a pseudo-random number in [0, 1).
func (s *Source) Float64() float64 {
	*s = (*s&wordMask)*multiplier + *s>>wordBits
	return float64(*s&wordMask) / (1 << wordBits)
}
