package ring

// slotTargets holds the planned number of slots of each backend, and its limits. All slices are indexed by backend.
type slotTargets struct {
	low, high, count []int
	fairShare        []float64 // exact share by weight, not rounded
}

// computeSlotTargets limits the number of slots that each backend owns to the balance bound, then adjusts the counts in
// the fewest steps until they sum to the number of slots. Raising a count costs no extra migration while there are
// orphaned slots, which must be assigned anyway. So backends are raised first by up to the number of orphans that they
// are the failover target of (wanted). Counts are lowered only if they sum to more than the number of slots.
func (t *Table) computeSlotTargets(bound BalanceBound, owned, wanted []int) slotTargets {
	n := len(t.backends)
	targets := slotTargets{low: make([]int, n), high: make([]int, n), count: make([]int, n), fairShare: make([]float64, n)}
	totalWeight, missing := t.totalWeight(), len(t.slots)
	for k, b := range t.backends {
		targets.fairShare[k] = float64(len(t.slots)) * b.Weight / totalWeight
		targets.low[k], targets.high[k] = bound.slotRange(targets.fairShare[k])
		targets.count[k] = min(max(owned[k], targets.low[k]), targets.high[k])
		missing -= targets.count[k]
	}
	for k := range targets.count {
		gained := targets.count[k] - owned[k]
		more := max(min(targets.high[k]-targets.count[k], wanted[k]-gained, missing), 0)
		targets.count[k] += more
		missing -= more
	}
	targets.correctSum(missing)
	return targets
}

// correctSum changes counts by one slot at a time until missing is 0. It always succeeds: the fair shares sum to the
// number of slots, and each of them rounded down and rounded up is within the limits.
func (s *slotTargets) correctSum(missing int) {
	for missing != 0 {
		step := 1
		if missing < 0 {
			step = -1
		}
		s.count[s.furthestFromFairShare(step)] += step
		missing -= step
	}
}

// furthestFromFairShare returns the backend whose count can change by step and is furthest from its fair share in that
// direction; of several the first by name.
func (s *slotTargets) furthestFromFairShare(step int) int {
	best := -1
	distance := func(k int) float64 { return float64(step) * (s.fairShare[k] - float64(s.count[k])) }
	for k := range s.count {
		changed := s.count[k] + step
		if changed < s.low[k] || changed > s.high[k] {
			continue
		}
		if best < 0 || distance(k) > distance(best) {
			best = k
		}
	}
	return best
}
