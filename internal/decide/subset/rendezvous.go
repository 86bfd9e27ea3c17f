package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the subset of a member by rendezvous hashing (highest random weight): the size backends with the
// highest xxhash64 of "member/backend". Removing a backend affects only the members that used it; an added backend
// gets about an even share of the connections.
func Rendezvous(backends []string, member string, size int) []string {
	size = min(max(size, 0), len(backends))
	type candidate struct {
		name   string
		weight uint64
	}
	candidates := make([]candidate, len(backends))
	for i, backend := range backends {
		candidates[i] = candidate{name: backend, weight: xxhash.Sum64String(member + "/" + backend)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	chosen := make([]string, size)
	for i := range chosen {
		chosen[i] = candidates[i].name
	}
	return chosen
}

// BoundedLoad returns the subsets of all members by rendezvous hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2016). Members choose in the order of their ranks. Each takes the size backends of highest weight whose
// load is still below the mean load rounded up. If too few backends are below it, which can happen to the last members,
// they exceed it. The cost is one hash per pair of member and backend.
func BoundedLoad(claims []Claim, backends []string, size int) map[string][]string {
	members := MembersByRank(claims)
	size = min(max(size, 0), len(backends))
	subsets := make(map[string][]string, len(members))
	if len(backends) == 0 {
		for _, member := range members {
			subsets[member] = nil
		}
		return subsets
	}
	ceiling := (len(members)*size + len(backends) - 1) / len(backends)
	load := make(map[string]int, len(backends))
	for _, member := range members {
		subsets[member] = chooseBounded(backends, member, size, ceiling, load)
	}
	return subsets
}

// chooseBounded returns the subset of one member and adds its connections to load. It prefers backends below the ceiling,
// and exceeds the ceiling only if fewer than size of them are left.
func chooseBounded(backends []string, member string, size, ceiling int, load map[string]int) []string {
	chosen := make([]string, 0, size)
	byWeight := Rendezvous(backends, member, len(backends))
	for _, backend := range byWeight {
		if len(chosen) < size && load[backend] < ceiling {
			load[backend]++
			chosen = append(chosen, backend)
		}
	}
	for _, backend := range byWeight {
		if len(chosen) < size && !slices.Contains(chosen, backend) {
			load[backend]++
			chosen = append(chosen, backend)
		}
	}
	return chosen
}
