// This file owns one member's calls in flight. It must never let one out that the ring's Calls does not allow.

package slots

import (
	"encoding/json"
	"time"

	"thymechute/internal/decide/ring"
)

// Begin asks for a call on a key now; twice: it may run twice without harm. Where it may go (Go, Stale) Done must be
// called once it is over, with the slot; it must be over by until, on the log driver's clock (0: no bound).
func (k *Keeper) Begin(key string, twice bool) (b *ring.Backend, slot int, until time.Duration, v ring.Decision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if slot = k.agreed.Active.Slot(key); k.broken || k.ends || k.outAll >= MostCalls {
		return nil, slot, 0, ring.RejectLeaseExpired
	}
	b, until, v = k.calls.Admit(k.log.Now(), slot, ring.Idempotency(twice))
	if v == ring.Allow || v == ring.AllowStale {
		k.out[slot]++
		k.outAll++
	}
	return b, slot, until, v
}

// Done is the end of a call that Begin let out.
func (k *Keeper) Done(slot int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.out[slot]--; k.out[slot] <= 0 {
		delete(k.out, slot)
	}
	k.outAll--
}

// Leave: no more calls. True once none is out; the fleet has then been told, and need not wait for its lease.
func (k *Keeper) Leave() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ends = true
	if k.outAll > 0 {
		return false
	}
	b, _ := json.Marshal(word{Ends: true})
	k.log.Announce(Duty, string(b))
	return true
}

// Version is that of the table in force here.
func (k *Keeper) Version() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.agreed.Active.Version
}
