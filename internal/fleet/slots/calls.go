package slots

import (
	"time"

	"thymechute/internal/decide/ring"
)

// Call is the result of BeginCall.
type Call struct {
	Decision ring.Decision
	Backend  *ring.Backend // nil unless the call is allowed
	Slot     int
	Deadline time.Duration // by which the call must have ended, in terms of Log.Now; 0 for none
}

// IsAllowed reports whether the call may be made.
func (c Call) IsAllowed() bool { return c.Decision == ring.Allow || c.Decision == ring.AllowStale }

// BeginCall decides whether the owner of a key may be called now. EndCall must follow each call that is allowed. The decision
// is RejectLeaseExpired while this member drains, has diverged, or has MaxCalls in flight.
func (c *Controller) BeginCall(key string, idempotency ring.Idempotency) Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	slot := c.state.Active.Slot(key)
	if c.isDiverged || c.isDraining || c.inFlightTotal >= MaxCalls {
		return Call{Decision: ring.RejectLeaseExpired, Slot: slot}
	}
	backend, deadline, decision := c.gate.Admit(c.log.Now(), slot, idempotency)
	call := Call{Decision: decision, Backend: backend, Slot: slot, Deadline: deadline}
	if call.IsAllowed() {
		c.inFlight[slot]++
		c.inFlightTotal++
	}
	return call
}

// EndCall records the end of a call that BeginCall allowed on a slot.
func (c *Controller) EndCall(slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[slot]--; c.inFlight[slot] <= 0 {
		delete(c.inFlight, slot)
	}
	c.inFlightTotal--
}

// Drain makes BeginCall reject all further calls. Once no call is in flight it announces that this member has left, so that
// the others need not wait for its lease to expire, and returns true.
func (c *Controller) Drain() (isDrained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = true
	if c.inFlightTotal > 0 {
		return false
	}
	c.log.Announce(Duty, command{Left: true}.encode())
	return true
}
