// This file owns the emulation's order of events, by time and then by when they were put in.

package emulator

import (
	"time"

	"thymechute/internal/decide/configuration"
)

// configurationEvent is a message's arrival, a process's tick (no message), or do.
type configurationEvent struct {
	at       time.Duration
	seq      uint64
	do       func()
	from, to *configurationProcess
	life     int
	wire     int
	stream   bool
	m        configuration.Message
}

// configurationEvents is a binary heap by time, then by when it was put in.
type configurationEvents struct {
	heap []*configurationEvent
	free []*configurationEvent // played, to be used again
	seq  uint64
}

func (h *configurationEvents) less(a, b int) bool {
	x, y := h.heap[a], h.heap[b]
	return x.at < y.at || x.at == y.at && x.seq < y.seq
}

func (h *configurationEvents) push(e configurationEvent) {
	h.seq++
	e.seq = h.seq
	slot := &configurationEvent{}
	if last := len(h.free) - 1; last >= 0 {
		slot, h.free = h.free[last], h.free[:last]
	}
	*slot = e
	h.heap = append(h.heap, slot)
	for n := len(h.heap) - 1; n > 0 && h.less(n, (n-1)/2); n = (n - 1) / 2 {
		h.heap[n], h.heap[(n-1)/2] = h.heap[(n-1)/2], h.heap[n]
	}
}

func (h *configurationEvents) pop() *configurationEvent {
	top, last := h.heap[0], len(h.heap)-1
	h.heap[0], h.heap[last] = h.heap[last], nil
	h.heap = h.heap[:last]
	for n := 0; ; {
		least := n
		for child := 2*n + 1; child <= 2*n+2 && child < last; child++ {
			if h.less(child, least) {
				least = child
			}
		}
		if least == n {
			return top
		}
		h.heap[n], h.heap[least] = h.heap[least], h.heap[n]
		n = least
	}
}

func (s *configurationSim) after(by time.Duration, do func()) {
	s.events.push(configurationEvent{at: s.now + by, do: do})
}

func (s *configurationSim) tickAfter(by time.Duration, p *configurationProcess) {
	s.events.push(configurationEvent{at: s.now + by, to: p, life: p.life})
}

func (s *configurationSim) every(by time.Duration, do func()) {
	s.after(by, func() { do(); s.every(by, do) })
}

// runUntil plays all events up to a time.
func (s *configurationSim) runUntil(end time.Duration) {
	for len(s.events.heap) > 0 && s.events.heap[0].at <= end {
		e := s.events.pop()
		s.now = e.at
		switch {
		case e.do != nil:
			e.do()
		case e.m != nil:
			s.deliver(e)
		case e.to.up && e.to.life == e.life:
			s.tick(e.to)
		}
		*e = configurationEvent{}
		s.events.free = append(s.events.free, e)
	}
	s.now = end
}
