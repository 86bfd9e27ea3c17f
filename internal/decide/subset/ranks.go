// Package subset decides which services below each member of a fleet uses, from what the fleet agrees on: who is a
// member and which services below there are. It owns the members' ranks and the ways of choosing a subset, and must
// never do I/O, read a clock, start a goroutine or draw chance of its own: the same views give the same subsets in
// every member, on sockets, in tests and in the emulator.
//
// Ranks are dense (0 to n-1 for n members) and stable: a joining member takes the new top rank and moves nobody; a
// leaving one frees its rank, which the member of the top rank takes, so one member moves. Each member computes the
// whole table from the records it has heard (name, the rank it claims, when it joined), so views that agree give
// ranks that agree, and two members that claim one rank are told apart by who joined first.
//
// Tables: a Ranks holds one entry a member of the view it was given, no more; it is made anew from each view.
package subset

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Claim is what one member says of itself in its record.
type Claim struct {
	Name  string // unique in the fleet
	Rank  int    // the rank it holds; -1 for none yet
	Since uint64 // when it joined, in any unit all members share (an epoch counter); ties go by name
}

// Ranks gives each member of a view its rank, dense from 0.
type Ranks map[string]int

// Rank settles the ranks of a view. A member keeps the rank it claims where that rank is under the view's size and
// no member that joined before it claims the same; the others, in the order of joining, take the lowest ranks left.
// claims may come in any order and must not hold a name twice (a later one is dropped).
func Rank(claims []Claim) Ranks {
	order := slices.Clone(claims)
	slices.SortStableFunc(order, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Name, b.Name))
	})
	known := make(map[string]bool, len(order))
	order = slices.DeleteFunc(order, func(c Claim) bool {
		twice := known[c.Name]
		known[c.Name] = true
		return twice
	})
	n := len(order)
	ranks := make(Ranks, n)
	held := make([]bool, n)
	var waiting []string
	for _, c := range order {
		if c.Rank >= 0 && c.Rank < n && !held[c.Rank] {
			held[c.Rank] = true
			ranks[c.Name] = c.Rank
			continue
		}
		waiting = append(waiting, c.Name)
	}
	free := 0
	for _, name := range waiting {
		for held[free] {
			free++
		}
		held[free] = true
		ranks[name] = free
	}
	return ranks
}

// Deterministic is the subset of the member of a rank as the SRE book's deterministic subsetting draws it: services
// below in rounds of len(below)/size subsets, each round shuffled by its own number, so that every service below has
// the same number of members, give or take one round. below must be in one order in every member (sorted); size is
// clamped to 1..len(below). The result is a new slice, nil where below is empty.
func Deterministic(below []string, rank, size int) []string {
	if len(below) == 0 {
		return nil
	}
	size = min(max(size, 1), len(below))
	count := len(below) / size
	round := rank / count
	shuffled := slices.Clone(below)
	shuffle(shuffled, uint64(round))
	at := (rank % count) * size
	return shuffled[at : at+size]
}

// shuffle is Fisher and Yates by a generator that every member draws alike from the round's number.
func shuffle(s []string, round uint64) {
	state := round*0x9e3779b97f4a7c15 + 1
	for i := len(s) - 1; i > 0; i-- {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		j := int(state % uint64(i+1))
		s[i], s[j] = s[j], s[i]
	}
}

// Rendezvous is the subset of a member by highest random weight: the size services below whose hash with the
// member's name stands highest. A service below that leaves moves only its own members; one that joins takes about
// its fair part. Hashes are xxhash64 of "member/below".
func Rendezvous(below []string, member string, size int) []string {
	size = min(max(size, 0), len(below))
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(below))
	for i, b := range below {
		all[i] = scored{b, xxhash.Sum64String(member + "/" + b)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	out := make([]string, size)
	for i := range out {
		out[i] = all[i].name
	}
	return out
}

// Bounded is rendezvous with bounded load (Mirrokni, Thorup and Zadimoghaddam, 2016) over the whole view: members
// in the order of their stable ranks each take the size services below of highest hash among those that hold fewer
// than the ceiling of the mean, so that no service below holds more than that ceiling, except where the last
// members find room only in services below they already hold and must go over it. A member's subset moves only
// where its own choices or those of the ranks before it changed, and the spread stays near ceil(mean)/mean.
// Cost: members times below hashes; the result holds one subset a member.
func Bounded(claims []Claim, below []string, size int) map[string][]string {
	ranks := Rank(claims)
	order := make([]string, len(ranks))
	for name, rank := range ranks {
		order[rank] = name
	}
	size = min(max(size, 0), len(below))
	out := make(map[string][]string, len(order))
	if len(below) == 0 {
		for _, name := range order {
			out[name] = nil
		}
		return out
	}
	ceiling := (len(order)*size + len(below) - 1) / len(below)
	held := make(map[string]int, len(below))
	for _, name := range order {
		mine := make([]string, 0, size)
		mostOrder := Rendezvous(below, name, len(below))
		for _, b := range mostOrder {
			if len(mine) < size && held[b] < ceiling {
				held[b]++
				mine = append(mine, b)
			}
		}
		for _, b := range mostOrder { // the last ones may find room only where they already are: one over
			if len(mine) < size && !slices.Contains(mine, b) {
				held[b]++
				mine = append(mine, b)
			}
		}
		out[name] = mine
	}
	return out
}

// Random is a subset drawn by a generator seeded from the member's name: stable for a member, but blind to the rest
// of the fleet, so spread is left to luck. It stands as the baseline that the others are measured against.
func Random(below []string, member string, size int) []string {
	size = min(max(size, 0), len(below))
	shuffled := slices.Clone(below)
	shuffle(shuffled, xxhash.Sum64String(member))
	return shuffled[:size]
}

// Way names one of the ways above, for measurements and settings.
type Way string

// The ways.
const (
	WayDeterministic Way = "deterministic" // SRE book's, with the stable ranks of Rank
	WayDense         Way = "dense"         // SRE book's, with ranks by order of names, as it stands in the book
	WayRendezvous    Way = "rendezvous"
	WayBounded       Way = "bounded" // rendezvous with bounded load, members in the order of stable ranks
	WayRandom        Way = "random"
)

// Ways lists them in the order measurements print them.
var Ways = []Way{WayBounded, WayDeterministic, WayDense, WayRendezvous, WayRandom}

// Fleet gives every member of a view its subset by one way. claims carry the stable ranks (WayDeterministic);
// WayDense ranks by name alone, as when a member's number is its place in a sorted list.
func Fleet(way Way, claims []Claim, below []string, size int) map[string][]string {
	out := make(map[string][]string, len(claims))
	switch way {
	case WayDeterministic:
		for name, rank := range Rank(claims) {
			out[name] = Deterministic(below, rank, size)
		}
	case WayDense:
		names := make([]string, len(claims))
		for i, c := range claims {
			names[i] = c.Name
		}
		slices.Sort(names)
		for rank, name := range slices.Compact(names) {
			out[name] = Deterministic(below, rank, size)
		}
	case WayBounded:
		return Bounded(claims, below, size)
	case WayRendezvous:
		for _, c := range claims {
			out[c.Name] = Rendezvous(below, c.Name, size)
		}
	default:
		for _, c := range claims {
			out[c.Name] = Random(below, c.Name, size)
		}
	}
	return out
}

// Spread is the connections of the busiest service below over the mean of all of below: 1 is even. 0 for no
// connections. Services below that no member uses count in the mean.
func Spread(subsets map[string][]string, below []string) float64 {
	counts := make(map[string]int, len(below))
	total := 0
	for _, s := range subsets {
		for _, b := range s {
			counts[b]++
			total++
		}
	}
	if total == 0 || len(below) == 0 {
		return 0
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(len(below)) / float64(total)
}

// Opened counts the connections of after that before did not have: members' new pairs with a service below,
// the new members' included. It is the work a change of view costs the services below (cold connections).
func Opened(before, after map[string][]string) int {
	n := 0
	for member, s := range after {
		had := before[member]
		for _, b := range s {
			if !slices.Contains(had, b) {
				n++
			}
		}
	}
	return n
}

// Least is the fewest connections that a change of view must open if the spread is to stay even: a joining
// member's own subset; a leaving member's subset, which someone must take up or its services below fall behind the
// rest; the connections that a leaving service below held; a joining service below's fair part. Never under one.
// joined and left count members; added and gone count services below; members and below are those after.
func Least(size, members, below, joined, left, added, gone int) int {
	least := (joined + left) * size
	if gone > 0 {
		least += gone * members * size / (below + gone)
	}
	if added > 0 && below > 0 {
		least += added * members * size / below
	}
	return max(least, 1)
}

// Name is how a test or the emulator calls its n-th member or service below.
func Name(prefix string, n int) string { return prefix + strconv.Itoa(n) }
