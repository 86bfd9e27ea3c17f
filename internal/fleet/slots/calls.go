package slots

import (
	"time"

	"thymechute/internal/decide/ring"
)

// Call is the answer to BeginCall.
type Call struct {
	Decision ring.Decision
	Backend  *ring.Backend // nil unless the call is allowed
	Slot     int
	Deadline time.Duration // by which the call must have ended, by the log's clock; 0 for none
}

// IsAllowed reports whether the call may be made.
func (c Call) IsAllowed() bool { return c.Decision == ring.Allow || c.Decision == ring.AllowStale }

// BeginCall asks to call the owner of a key now. EndCall must follow each call that is allowed. A draining or diverged
// member gets RejectLeaseExpired, as does one with MaxCalls in flight.
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

// EndCall notes the end of a call on a slot that BeginCall allowed.
func (c *Controller) EndCall(slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[slot]--; c.inFlight[slot] <= 0 {
		delete(c.inFlight, slot)
	}
	c.inFlightTotal--
}

// Drain rejects all further calls. It returns true once none is in flight; the other members then know that they need
// not wait for this member's lease.
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
