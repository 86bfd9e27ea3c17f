package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Deterministic returns the subset of the member with the given rank by deterministic subsetting, as described in the
// book Site Reliability Engineering. Members are grouped into rounds of len(backends)/size. In each round the backends
// are shuffled with the round's number as seed and divided among its members, so a round uses no backend twice. If
// size divides the number of backends, their numbers of members differ by at most one. backends must be in the same
// order in all members (sorted). size is clamped to 1..len(backends). The result is a new slice, nil if backends is
// empty.
func Deterministic(backends []string, rank, size int) []string {
	if len(backends) == 0 {
		return nil
	}
	size = min(max(size, 1), len(backends))
	subsetsPerRound := len(backends) / size
	round := rank / subsetsPerRound
	shuffled := slices.Clone(backends)
	shuffle(shuffled, uint64(round))
	start := (rank % subsetsPerRound) * size
	return shuffled[start : start+size]
}

// Random returns a pseudo-random subset, seeded with a hash of the member's name. It is stable for a member but ignores
// the other members, so the load on the backends is uneven. It is a baseline for comparison.
func Random(backends []string, member string, size int) []string {
	size = min(max(size, 0), len(backends))
	shuffled := slices.Clone(backends)
	shuffle(shuffled, xxhash.Sum64String(member))
	return shuffled[:size]
}

// shuffle is a Fisher-Yates shuffle driven by a xorshift64 generator, so that all members get the same permutation for the
// same seed.
func shuffle(names []string, seed uint64) {
	const goldenRatio = 0x9e3779b97f4a7c15
	state := seed*goldenRatio + 1
	for i := len(names) - 1; i > 0; i-- {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		j := int(state % uint64(i+1))
		names[i], names[j] = names[j], names[i]
	}
}
