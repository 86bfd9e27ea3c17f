package configuration

import "time"

// limiterSlots is the number of slots in a window plus one, as a window that does not start at a slot boundary overlaps one more.
const limiterSlots = 13

// byteLimiter is a sliding-window rate limiter. It allows at most budget bytes in any window as long as limiterSlots-1 slots.
type byteLimiter struct {
	slotLength time.Duration
	budget     int // bytes
	slots      [limiterSlots]int
	total      int   // bytes in all slots
	newestSlot int64 // number of the newest slot
}

// allow reports whether a number of bytes may be sent now, and deducts them from the budget if so.
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

// advance makes slot the newest one, and clears the slots that have left the window.
func (l *byteLimiter) advance(slot int64) {
	if slot-l.newestSlot >= limiterSlots {
		l.slots = [limiterSlots]int{}
		l.total = 0
		l.newestSlot = slot
	}
	for l.newestSlot < slot {
		l.newestSlot++
		oldest := &l.slots[l.newestSlot%limiterSlots]
		l.total -= *oldest
		*oldest = 0
	}
}
