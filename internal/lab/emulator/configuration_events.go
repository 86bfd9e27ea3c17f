package emulator

import (
	"container/heap"
	"time"

	"thymechute/internal/decide/configuration"
)

// configurationEvent is an action if that is set, the arrival of a message if that is set, otherwise a tick of the process to.
type configurationEvent struct {
	at          time.Duration
	sequence    uint64
	action      func()
	from, to    *configurationProcess
	incarnation int // of the sender, or of the process that ticks
	wireBytes   int
	isStream    bool
	message     configuration.Message
}

// configurationEventHeap implements heap.Interface. Events are ordered by time, those at the same time by insertion.
type configurationEventHeap []*configurationEvent

func (h configurationEventHeap) Len() int { return len(h) }

func (h configurationEventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].sequence < h[b].sequence
}

func (h configurationEventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *configurationEventHeap) Push(e any) { *h = append(*h, e.(*configurationEvent)) }

// Pop implements heap.Interface.
func (h *configurationEventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// configurationEventQueue holds the pending events, and a pool of executed ones for reuse.
type configurationEventQueue struct {
	pending      configurationEventHeap
	free         []*configurationEvent
	lastSequence uint64
}

func (q *configurationEventQueue) push(e configurationEvent) {
	q.lastSequence++
	e.sequence = q.lastSequence
	slot := &configurationEvent{}
	if last := len(q.free) - 1; last >= 0 {
		slot, q.free = q.free[last], q.free[:last]
	}
	*slot = e
	heap.Push(&q.pending, slot)
}

func (q *configurationEventQueue) pop() *configurationEvent {
	return heap.Pop(&q.pending).(*configurationEvent)
}

// release returns an executed event to the pool.
func (q *configurationEventQueue) release(e *configurationEvent) {
	*e = configurationEvent{}
	q.free = append(q.free, e)
}

// after schedules an action after a delay.
func (s *configurationSimulation) after(delay time.Duration, action func()) {
	s.events.push(configurationEvent{at: s.now + delay, action: action})
}

// tickAfter schedules a tick of a process. The tick is dropped if the process is down or has restarted by then.
func (s *configurationSimulation) tickAfter(delay time.Duration, p *configurationProcess) {
	s.events.push(configurationEvent{at: s.now + delay, to: p, incarnation: p.incarnation})
}

// every schedules an action once per interval until the end of the simulation.
func (s *configurationSimulation) every(interval time.Duration, action func()) {
	s.after(interval, func() {
		action()
		s.every(interval, action)
	})
}

// runUntil executes all events up to and including those at time end.
func (s *configurationSimulation) runUntil(end time.Duration) {
	for len(s.events.pending) > 0 && s.events.pending[0].at <= end {
		e := s.events.pop()
		s.now = e.at
		s.execute(e)
		s.events.release(e)
	}
	s.now = end
}

func (s *configurationSimulation) execute(e *configurationEvent) {
	switch {
	case e.action != nil:
		e.action()
	case e.message != nil:
		s.deliver(e)
	case e.to.isUp && e.to.incarnation == e.incarnation:
		s.tickProcess(e.to)
	}
}
