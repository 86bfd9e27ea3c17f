package runids

import (
	"testing"

	"pgregory.net/rapid"
)

// The newest ids up to the capacity are remembered, an id that was never added is not, and the bound holds.
func TestMemoryContainsNewestIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		m := New(capacity)
		var added []uint64
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			id := rapid.Uint64Range(1, 60).Draw(t, "id")
			m.Add(id)
			added = append(added, id)
			for _, newest := range added[max(len(added)-capacity, 0):] {
				if !m.Contains(newest) {
					t.Fatalf("id %d is forgotten, which is among the newest %d of %v", newest, capacity, added)
				}
			}
			if m.Contains(0) {
				t.Fatal("contains an id that was never added")
			}
			if len(m.current)+len(m.previous) > 2*capacity {
				t.Fatalf("%d and %d ids, with a capacity of %d", len(m.current), len(m.previous), capacity)
			}
		}
	})
}

func TestOldestIDsAreForgotten(t *testing.T) {
	m := New(2)
	for id := range uint64(5) {
		m.Add(id)
	}
	if m.Contains(0) || m.Contains(1) || !m.Contains(3) || !m.Contains(4) {
		t.Error("want the ids 3 and 4 remembered, 0 and 1 forgotten")
	}
	if m := New(0); m.Contains(1) {
		t.Error("an empty memory contains an id")
	}
}
