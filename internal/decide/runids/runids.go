// Package runids remembers which requests have been started, by digests of their ids, so that an id that comes again is not run
// again. It does no I/O and reads no clock. Its memory is bounded: a Memory reaches back to the newest ids and forgets older ones.
package runids

// BytesPerID is the memory that one id may take, in bytes.
const BytesPerID = 64

// Memory contains at least the newest ids up to its capacity, and at most twice as many. It must be used from one goroutine at a
// time.
type Memory struct {
	capacity int
	current  map[uint64]struct{} // at most capacity ids
	previous map[uint64]struct{} // the ids added before those in current
}

// New returns an empty memory that reaches back to at least capacity ids, and to one if capacity is less.
func New(capacity int) *Memory {
	return &Memory{capacity: max(capacity, 1), current: map[uint64]struct{}{}}
}

// Add remembers an id.
func (m *Memory) Add(id uint64) {
	if _, ok := m.current[id]; !ok && len(m.current) >= m.capacity {
		m.previous = m.current
		m.current = map[uint64]struct{}{}
	}
	m.current[id] = struct{}{}
}

// Contains reports whether the id is remembered.
func (m *Memory) Contains(id uint64) bool {
	_, inCurrent := m.current[id]
	_, inPrevious := m.previous[id]
	return inCurrent || inPrevious
}
