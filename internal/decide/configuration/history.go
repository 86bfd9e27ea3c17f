// This file owns the deltas kept for peers that are a little behind. It must never grow past its bounds.

package configuration

import "slices"

// History is the deltas that led to the state in force, oldest first, without a gap. The zero value has none.
type History struct {
	steps []step
	bytes int
}

type step struct {
	from, to Version
	changes  []Change
	size     int
	before   int // sizes of all steps before it, kept or not
}

// add keeps a step; where it doesn't follow the last one, all before are dropped, and the oldest where a bound is met.
func (h *History) add(from, to Version, changes []Change) {
	if n := len(h.steps); n > 0 && h.steps[n-1].to != from {
		h.steps, h.bytes = nil, 0
	}
	next := step{from: from, to: to, changes: changes, size: sizeOf(changes)}
	if n := len(h.steps); n > 0 {
		next.before = h.steps[n-1].before + h.steps[n-1].size
	}
	h.steps, h.bytes = append(h.steps, next), h.bytes+next.size
	drop := 0
	for len(h.steps)-drop > MostHistory || h.bytes > MostHistoryBytes {
		h.bytes -= h.steps[drop].size
		drop++
	}
	if drop > 0 {
		clear(h.steps[:drop])
		h.steps = h.steps[drop:]
	}
}

// sizeSince is about how many bytes since would give at most; false where the version is not kept.
func (h *History) sizeSince(v Version) (int, bool) {
	n, found := h.find(v)
	if !found {
		return 0, false
	}
	last := h.steps[len(h.steps)-1]
	return last.before + last.size - h.steps[n].before, true
}

func (h *History) find(v Version) (int, bool) {
	return slices.BinarySearchFunc(h.steps, v, func(s step, v Version) int { return s.from.Compare(v) })
}

// since is what changed after a version, each resource once, as it stands now; false where the version is not kept.
func (h *History) since(v Version) ([]Change, bool) {
	n, found := h.find(v)
	if !found {
		return nil, false
	}
	if n == len(h.steps)-1 {
		return h.steps[n].changes, true
	}
	type key struct {
		t    Type
		name string
	}
	last := map[key]int{}
	var merged []Change
	for _, s := range h.steps[n:] {
		for _, c := range s.changes {
			k := key{c.Resource.Type, c.Resource.Name}
			if at, seen := last[k]; seen {
				merged[at] = c
				continue
			}
			last[k] = len(merged)
			merged = append(merged, c)
		}
	}
	return merged, true
}

func sizeOf(changes []Change) (n int) {
	for _, c := range changes {
		n += c.Resource.size() + changeOverhead
	}
	return n
}

const changeOverhead = 8 // bytes an encoded change takes beside name and body, about
