// This file owns the worth of work: what goes first, and what goes when some must. It must never act.

package policy

import (
	"cmp"
	"math"
	"time"
)

// density is value over expected work; 0 for what can't be of use any more.
func (i *Instance) density(now time.Duration, w RequestID) float64 {
	it, b := &i.items[w], &i.classes[i.items[w].Class]
	value, run := b.value, b.latency // run: what it likely needs, and whole with its calls
	if it.CostHint > 0 && b.perHint > 0 {
		run = math.Sqrt(it.CostHint.Seconds() * b.perHint * b.latency)
	}
	whole := run + max(b.span-b.latency, 0)
	if it.Retry {
		value *= again
	}
	if it.beyond {
		value *= i.server.OverQuotaWeight.Or(1)
	}
	if it.state == held {
		// The less of its expected run fits before the due time, the less likely it is of use.
		chance := min(((it.use-now).Seconds()/whole-leastFit)/(1-leastFit), 1)
		free := it.CostHint > 0 && i.onCores < i.cores && !i.flag
		if (free || 2*i.onCores < i.cores) && it.use > now {
			chance = max(chance, idleTry) // guesses mislead, and trying costs an idle server nothing
		}
		value *= chance
	}
	if !i.server.WeightPerWork.On() {
		value /= max(run, 1e-4)
	}
	// To the nearest power of two: a guess is no better, and nearly equal classes must not starve each other.
	return math.Exp2(math.Round(math.Log2(max(value, 0))))
}

func (i *Instance) byDensity(now time.Duration, newer int) func(a, b RequestID) int {
	return func(a, b RequestID) int { // of equal ones the newer is the less where newer is 1, the more where it is -1
		return cmp.Or(cmp.Compare(i.density(now, a), i.density(now, b)),
			newer*cmp.Compare(i.items[b].arrived, i.items[a].arrived))
	}
}
