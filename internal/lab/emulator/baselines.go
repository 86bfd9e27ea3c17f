package emulator

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// assigner maps each key (a hash) to the index of a backend in names, which are sorted. All backends have the same weight.
type assigner func(keys []uint64, names []string) []int

// baselineAlgorithms are published algorithms. They serve only for comparison with the ring.
var baselineAlgorithms = []struct {
	name   string
	assign assigner
}{
	{"karger", consistentHashing},
	{"rendezvous", rendezvousHashing},
	{"jump", jumpHashing},
	{"maglev", maglevHashing},
	{"bounded_loads", boundedLoadHashing},
}

const (
	virtualNodes    = 100   // per backend on the hash ring
	maglevTableSize = 65537 // the prime number in the Maglev paper
	maxLoadOverMean = 1.05  // in boundedLoadHashing
)

// mixHashes combines two hashes with the finalizer of MurmurHash3.
func mixHashes(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

// virtualNode is a backend's point on the hash ring.
type virtualNode struct {
	hash    uint64
	backend int
}

// hashRing returns the virtual nodes of all backends, sorted by hash.
func hashRing(names []string) []virtualNode {
	nodes := make([]virtualNode, 0, len(names)*virtualNodes)
	for n, name := range names {
		h := xxhash.Sum64String(name)
		for v := range virtualNodes {
			nodes = append(nodes, virtualNode{mixHashes(h, uint64(v)+1), n})
		}
	}
	slices.SortFunc(nodes, func(a, b virtualNode) int { return cmp.Compare(a.hash, b.hash) })
	return nodes
}

// successor returns the index of the first node at or after a key; after the last node the ring starts again.
func successor(nodes []virtualNode, key uint64) int {
	return sort.Search(len(nodes), func(n int) bool { return nodes[n].hash >= key }) % len(nodes)
}

// consistentHashing implements assigner: Karger's hash ring with virtual nodes.
func consistentHashing(keys []uint64, names []string) []int {
	nodes, assigned := hashRing(names), make([]int, len(keys))
	for k, key := range keys {
		assigned[k] = nodes[successor(nodes, key)].backend
	}
	return assigned
}

// boundedLoadHashing implements assigner: a hash ring on which a key skips backends that have their maximum load.
func boundedLoadHashing(keys []uint64, names []string) []int {
	nodes, assigned := hashRing(names), make([]int, len(keys))
	maxLoad := int(maxLoadOverMean*float64(len(keys))/float64(len(names))) + 1
	load := make([]int, len(names))
	for k, key := range keys {
		n := successor(nodes, key)
		for load[nodes[n].backend] >= maxLoad {
			n = (n + 1) % len(nodes)
		}
		assigned[k] = nodes[n].backend
		load[assigned[k]]++
	}
	return assigned
}

// rendezvousHashing implements assigner: a key belongs to the backend with the highest score for it.
func rendezvousHashing(keys []uint64, names []string) []int {
	hashes, assigned := make([]uint64, len(names)), make([]int, len(keys))
	for n, name := range names {
		hashes[n] = xxhash.Sum64String(name)
	}
	for k, key := range keys {
		highest := uint64(0)
		for n, h := range hashes {
			if score := mixHashes(h, key); score >= highest {
				highest, assigned[k] = score, n
			}
		}
	}
	return assigned
}

// jumpHashing implements assigner: jump consistent hash. It identifies backends by index only, so the removal of one shifts
// the indices of all that follow it.
func jumpHashing(keys []uint64, names []string) []int {
	assigned := make([]int, len(keys))
	for k, key := range keys {
		bucket, next := int64(-1), int64(0)
		for next < int64(len(names)) {
			bucket = next
			key = key*2862933555777941757 + 1
			next = int64(float64(bucket+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
		}
		assigned[k] = int(bucket)
	}
	return assigned
}

// maglevHashing implements assigner: keys are looked up in Maglev's table.
func maglevHashing(keys []uint64, names []string) []int {
	table, assigned := maglevTable(names), make([]int, len(keys))
	for k, key := range keys {
		assigned[k] = table[key%maglevTableSize]
	}
	return assigned
}

// maglevTable returns the backend of each table entry. The backends take turns: each takes the next free entry in the order
// of its own permutation.
func maglevTable(names []string) []int {
	const free = -1
	table, next := make([]int, maglevTableSize), make([]uint64, len(names))
	offset, skip := make([]uint64, len(names)), make([]uint64, len(names))
	for n, name := range names {
		h := xxhash.Sum64String(name)
		offset[n], skip[n] = h%maglevTableSize, mixHashes(h, 7)%(maglevTableSize-1)+1
	}
	for slot := range table {
		table[slot] = free
	}
	for filled := 0; ; {
		for n := range names {
			at := (offset[n] + next[n]*skip[n]) % maglevTableSize
			for table[at] != free {
				next[n]++
				at = (offset[n] + next[n]*skip[n]) % maglevTableSize
			}
			table[at] = n
			next[n]++
			if filled++; filled == maglevTableSize {
				return table
			}
		}
	}
}
