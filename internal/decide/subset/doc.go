// Package subset chooses which backends each member of a fleet connects to. Every member computes its own subset from
// the membership view and the list of backends, without coordination: equal views give equal subsets everywhere.
//
// Ranks number the members of a view densely (0 to n-1) and stably: a joining member takes the next free rank and
// moves nobody; when a member leaves, at most the holder of the highest rank moves into the gap. A member claims its
// rank in its gossiped record, and two members that claim the same rank are ordered by who joined first.
//
// The package is pure: no I/O, clock, goroutine or randomness other than hashes and shuffles seeded by the arguments.
// Ranks and subsets are rebuilt from each view and hold one entry per member.
package subset
