package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Deterministic returns the subset of the member with the given rank by the deterministic subsetting of the Site
// Reliability Engineering book: members are grouped into rounds of len(backends)/size, the backends are shuffled by
// the round's number and dealt out within the round, so that each backend gets the same number of members, give or
// take one round. backends must be in the same order in every member (sorted); size is clamped to 1..len(backends).
// The result is a new slice, nil if backends is empty.
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

// Random returns a subset that is drawn by a generator seeded with the member's name. It is stable for a member, but
// ignores the other members, so the load on the backends is left to chance: a baseline for comparison.
func Random(backends []string, member string, size int) []string {
	size = min(max(size, 0), len(backends))
	shuffled := slices.Clone(backends)
	shuffle(shuffled, xxhash.Sum64String(member))
	return shuffled[:size]
}

// shuffle is a Fisher-Yates shuffle driven by a xorshift64 generator, so that every member draws the same permutation
// from the same seed.
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
