// This file owns the published ways of spreading keys that the ring is measured beside: a ring with virtual nodes
// (Karger), rendezvous, jump, Maglev's table, and a ring with bounded loads. Each maps all keys at once for a set of
// equal backends. They are for comparison only, and must never be linked by cmd/thymechute.

package emulator

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// spread maps keys (by hash) to places among names, which are sorted.
type spread func(keys []uint64, names []string) []int

const (
	virtual     = 100   // points of a backend on Karger's ring
	maglevTable = 65537 // prime, as published
	loadBound   = 1.05  // of the mean, for bounded loads
)

func mix(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

type point struct {
	at  uint64
	who int
}

func circle(names []string) []point {
	points := make([]point, 0, len(names)*virtual)
	for n, name := range names {
		h := xxhash.Sum64String(name)
		for v := range virtual {
			points = append(points, point{mix(h, uint64(v)+1), n})
		}
	}
	slices.SortFunc(points, func(a, b point) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	return points
}

func after(points []point, key uint64) int {
	return sort.Search(len(points), func(n int) bool { return points[n].at >= key }) % len(points)
}

func karger(keys []uint64, names []string) []int {
	points, out := circle(names), make([]int, len(keys))
	for k, key := range keys {
		out[k] = points[after(points, key)].who
	}
	return out
}

func bounded(keys []uint64, names []string) []int {
	points, out := circle(names), make([]int, len(keys))
	most := int(loadBound*float64(len(keys))/float64(len(names))) + 1
	load := make([]int, len(names))
	for k, key := range keys {
		n := after(points, key)
		for load[points[n].who] >= most {
			n = (n + 1) % len(points)
		}
		out[k] = points[n].who
		load[out[k]]++
	}
	return out
}

func rendezvous(keys []uint64, names []string) []int {
	hashes, out := make([]uint64, len(names)), make([]int, len(keys))
	for n, name := range names {
		hashes[n] = xxhash.Sum64String(name)
	}
	for k, key := range keys {
		most := uint64(0)
		for n, h := range hashes {
			if score := mix(h, key); score >= most {
				most, out[k] = score, n
			}
		}
	}
	return out
}

// jump knows backends by number alone: one that leaves gives its number to all behind it.
func jump(keys []uint64, names []string) []int {
	out := make([]int, len(keys))
	for k, key := range keys {
		b, j := int64(-1), int64(0)
		for j < int64(len(names)) {
			b = j
			key = key*2862933555777941757 + 1
			j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
		}
		out[k] = int(b)
	}
	return out
}

func maglev(keys []uint64, names []string) []int {
	table, next := make([]int, maglevTable), make([]uint64, len(names))
	offset, skip := make([]uint64, len(names)), make([]uint64, len(names))
	for n, name := range names {
		h := xxhash.Sum64String(name)
		offset[n], skip[n] = h%maglevTable, mix(h, 7)%(maglevTable-1)+1
	}
	for s := range table {
		table[s] = -1
	}
	for filled := 0; ; {
		for n := range names {
			at := (offset[n] + next[n]*skip[n]) % maglevTable
			for table[at] >= 0 {
				next[n]++
				at = (offset[n] + next[n]*skip[n]) % maglevTable
			}
			table[at] = n
			next[n]++
			if filled++; filled == maglevTable {
				out := make([]int, len(keys))
				for k, key := range keys {
					out[k] = table[key%maglevTable]
				}
				return out
			}
		}
	}
}
