// This file owns the owner's part: what moves next, and the lots for cold backends. It must never begin a move while
// another is under way.

package slots

import (
	"time"

	"thymechute/internal/decide/ring"
)

// Held: this member owns the ring from now on.
func (k *Keeper) Held(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var known []string
	for process := range k.heard {
		known = append(known, process)
	}
	k.mover = ring.NewMigrator(now, mover{k}, k.c.Terms, known, k.agreed.Pending, k.agreed.MigratingSlots)
	if k.c.Budget != (ring.CallBudget{}) {
		k.ramps = ring.NewWarmUpController(now, k.c.Ramp, k.c.Budget, k.c.Terms)
	}
}

// Lost: it does not any more.
func (k *Keeper) Lost() {
	k.mu.Lock()
	k.mover, k.ramps = nil, nil
	k.mu.Unlock()
}

// own carries on what is under way, and begins what is next.
func (k *Keeper) own(now time.Duration) {
	k.mover.Tick(now)
	k.plan(now)
	k.grant(now)
}

// plan begins the next move, where the backends that should be there ask for one.
func (k *Keeper) plan(now time.Duration) {
	if k.mover.InProgress() || k.agreed.Pending != nil || len(k.want) == 0 {
		return
	}
	want := k.want
	if k.ramps != nil {
		want = k.ramps.WeightedBackends(now, want, k.agreed.Active)
	}
	next, moves, _, err := k.agreed.Active.Plan(want, k.c.Band, nil)
	if err == nil && (len(moves) > 0 || len(k.agreed.Active.Backends()) == 0 || next.WarmUpChangedSince(k.agreed.Active)) {
		k.mover.Start(now, next, moves)
	}
}

// grant says the next lot for the cold backends.
func (k *Keeper) grant(now time.Duration) {
	if k.ramps == nil {
		return
	}
	there := func(process string) bool { _, heard := k.heard[process]; return heard }
	if l, due := k.ramps.NextGrant(now, &k.agreed, there); due {
		mover{k}.decide(word{Lot: &l})
	}
}
