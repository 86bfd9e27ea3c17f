// Package chance is the decisions' own random generator, multiply with carry as in the module: a told seed gives the
// same run again. It owns one number and must never read a clock or another source.
package random

// Source is a generator; the zero value is seeded with 0.
type Source uint64

// New makes one of a seed, of which 32 bits count.
func New(seed uint64) Source { return Source(seed&0xffffffff | 1<<32) }

// Float is 0 to under 1.
func (s *Source) Float() float64 {
	*s = (*s&0xffffffff)*4294957665 + *s>>32
	return float64(*s&0xffffffff) / (1 << 32)
}
