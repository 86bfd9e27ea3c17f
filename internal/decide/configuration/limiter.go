package configuration

import "time"

// limiterSlots is one more than the slots of a window: any window of that length lies within them.
const limiterSlots = 13

// byteLimiter is a sliding-window rate limiter: it allows at most budget bytes in any window of limiterSlots-1 slots.
type byteLimiter struct {
	slotLength time.Duration
	budget     int // bytes
	slots      [limiterSlots]int
	total      int   // bytes in all slots
	current    int64 // number of the newest slot
}

// allow reports whether that many bytes may be sent now, and counts them if so.
func (l *byteLimiter) allow(now time.Duration, bytes int) bool {
	slot := int64(now / l.slotLength)
	l.advance(slot)
	if l.total+bytes > l.budget {
		return false
	}
	l.slots[slot%limiterSlots] += bytes
	l.total += bytes
	return true
}

// advance expires the slots that have left the window.
func (l *byteLimiter) advance(slot int64) {
	if slot-l.current >= limiterSlots {
		l.slots = [limiterSlots]int{}
		l.total = 0
		l.current = slot
	}
	for l.current < slot {
		l.current++
		oldest := &l.slots[l.current%limiterSlots]
		l.total -= *oldest
		*oldest = 0
	}
}
