package configuration

import "slices"

// history holds the most recent deltas that led to the active state, oldest first and without gaps, for peers that are slightly
// behind. It is bounded by MaxHistoryDeltas and MaxHistoryBytes. The zero value is empty.
type history struct {
	entries []historyEntry
	bytes   int
}

type historyEntry struct {
	from, to    Version
	changes     []Change
	bytes       int
	bytesBefore int // total size of all earlier entries, including dropped ones
}

// add appends a delta. If it does not start at the version of the last entry, all previous entries are dropped.
func (h *history) add(from, to Version, changes []Change) {
	if n := len(h.entries); n > 0 && h.entries[n-1].to != from {
		h.entries, h.bytes = nil, 0
	}
	next := historyEntry{from: from, to: to, changes: changes, bytes: encodedSize(changes)}
	if n := len(h.entries); n > 0 {
		next.bytesBefore = h.entries[n-1].bytesBefore + h.entries[n-1].bytes
	}
	h.entries = append(h.entries, next)
	h.bytes += next.bytes
	h.dropOldest()
}

// dropOldest removes entries until the history is within its limits.
func (h *history) dropOldest() {
	count := 0
	for len(h.entries)-count > MaxHistoryDeltas || h.bytes > MaxHistoryBytes {
		h.bytes -= h.entries[count].bytes
		count++
	}
	if count > 0 {
		clear(h.entries[:count])
		h.entries = h.entries[count:]
	}
}

// bytesSince returns an upper bound on the encoded size of changesSince(v). found is false if no delta in the history starts
// at v.
func (h *history) bytesSince(v Version) (size int, found bool) {
	n, found := h.search(v)
	if !found {
		return 0, false
	}
	last := h.entries[len(h.entries)-1]
	return last.bytesBefore + last.bytes - h.entries[n].bytesBefore, true
}

// search returns the index of the delta that starts at v.
func (h *history) search(v Version) (index int, found bool) {
	return slices.BinarySearchFunc(h.entries, v, func(e historyEntry, v Version) int { return e.from.Compare(v) })
}

// resourceKey identifies a resource within a state.
type resourceKey struct {
	resourceType ResourceType
	name         string
}

// changesSince merges all changes since v: each resource occurs once, with its newest change. found is false if no delta in the
// history starts at v.
func (h *history) changesSince(v Version) (changes []Change, found bool) {
	n, found := h.search(v)
	if !found {
		return nil, false
	}
	if n == len(h.entries)-1 {
		return h.entries[n].changes, true
	}
	indexes := map[resourceKey]int{}
	for _, entry := range h.entries[n:] {
		for _, c := range entry.changes {
			key := resourceKey{c.Resource.Type, c.Resource.Name}
			if index, ok := indexes[key]; ok {
				changes[index] = c
				continue
			}
			indexes[key] = len(changes)
			changes = append(changes, c)
		}
	}
	return changes, true
}
