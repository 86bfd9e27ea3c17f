// Package subset chooses which backends each member of a fleet connects to. Each member computes its own subset from
// the membership view and the list of backends, without coordination: equal views give equal subsets in all members.
//
// Ranks number the members of a view from 0 to n-1 without gaps, and change little: a joining member takes the lowest
// free rank and changes no other; when a member leaves, at most the member with the highest rank takes over the freed
// rank. A member claims its rank in its gossiped record. If several members claim the same rank, the one that joined
// first keeps it.
//
// The package is deterministic: no I/O, clock or goroutine, and no randomness other than hashes and shuffles seeded by
// the arguments. Ranks and subsets are rebuilt from each view and hold one entry per member.
package subset
