package policy

// randomSource is a multiply-with-carry generator: the low half of the state is the last number drawn, the
// high half is the carry. It is small and produces the same sequence for the same seed on every platform.
type randomSource uint64

const (
	randomMultiplier = 4294957665
	randomWordBits   = 32
	randomWordMask   = 1<<randomWordBits - 1
)

// newRandomSource uses the low 32 bits of the seed. The carry starts at 1 so that a seed of 0 works too.
func newRandomSource(seed uint64) randomSource {
	return randomSource(seed&randomWordMask | 1<<randomWordBits)
}

// next returns the next pseudo-random number, at least 0 and below 1.
func (r *randomSource) next() float64 {
	*r = (*r&randomWordMask)*randomMultiplier + *r>>randomWordBits
	return float64(*r&randomWordMask) / (1 << randomWordBits)
}
