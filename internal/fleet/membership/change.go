// This file owns the changes of a member's own record: what is told at once, and what waits. It must never lose the last.

package membership

import "time"

// handOver is how long a change waits for memberlist to have passed it on: not at all. Gossip takes some rounds of 200 ms for
// it, and what the caller does next (the next rank, the line that names the view) must not wait for them. 0 would mean no limit.
const handOver = time.Nanosecond

// Set changes its own record and hands it to gossip, without a wait for the others to hear; errors as for a record too long, and
// then nothing changed.
//
// A change that only tells load (Capacity, LagMS, Share, Applied) costs every member of the fleet the same as any other and
// may come at any rate, so it is told at most once in loadChangeEvery: of those in between, only the last, once that time is
// over. What the view brings about (a rank, a flag) is told at once, and what waited with it.
func (m *Member) Set(r Record) error {
	told, err := m.change(r)
	if !told && err == nil {
		m.tell()
	}
	return err
}

// change takes the record in; told where nothing is to be told now.
func (m *Member) change(r Record) (told bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.self
	r.V, r.Name = Version, before.Name
	m.self = r
	if _, err = m.meta(); err == nil {
		err = r.check(r.Name)
	}
	if err != nil {
		m.self = before
		return false, err
	}
	if r == before {
		return true, nil
	}
	if r.withoutLoad() != before.withoutLoad() {
		return false, nil
	}
	wait := loadChangeEvery(len(m.view)) - time.Since(m.lastTold)
	if wait <= 0 {
		return false, nil
	}
	if m.waiting == nil {
		m.waiting = time.AfterFunc(wait, m.tell)
	}
	return true, nil
}

// tell gossips the record as it is by then. One at a time: memberlist reads the record before it counts the change up, so
// that of two at once the older could win.
func (m *Member) tell() {
	m.telling.Lock()
	defer m.telling.Unlock()
	m.mu.Lock()
	if m.waiting != nil {
		m.waiting.Stop()
		m.waiting = nil
	}
	m.lastTold = time.Now()
	ended := m.ended
	m.mu.Unlock()
	if !ended {
		_ = m.list.UpdateNode(handOver) // its one error is that the wait is over; the change is queued by then
	}
}

// end keeps what waits from being told; safe to call once.
func (m *Member) end() {
	close(m.stop)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.waiting != nil {
		m.waiting.Stop()
		m.waiting = nil
	}
}

// withoutLoad is what a record tells beside load.
func (r Record) withoutLoad() Record {
	r.Capacity, r.LagMS, r.Share, r.Applied = 0, 0, 0, 0
	return r
}
