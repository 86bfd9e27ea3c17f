package ring

// slotTargets are the planned slot counts by backend, within their limits.
type slotTargets struct {
	low, high, count []int
	fair             []float64 // exact share by weight
}

// slotTargets starts from what each backend owns, limited to the balance bound, then corrects the sum in the fewest
// steps. Raising a count costs no extra migration, as orphaned slots must be assigned anyway, so failover targets
// are raised first, up to the wanted counts. Counts are lowered only where too few slots are given away.
func (t *Table) slotTargets(bound BalanceBound, owned, wanted []int) slotTargets {
	n := len(t.backends)
	targets := slotTargets{low: make([]int, n), high: make([]int, n), count: make([]int, n), fair: make([]float64, n)}
	totalWeight, missing := t.totalWeight(), len(t.slots)
	for k, b := range t.backends {
		targets.fair[k] = float64(len(t.slots)) * b.Weight / totalWeight
		targets.low[k], targets.high[k] = bound.slotRange(targets.fair[k])
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

// correctSum changes counts one by one until missing is 0. It always succeeds: the whole numbers around the fair shares
// lie within the limits, and sum to the number of slots both ways.
func (s *slotTargets) correctSum(missing int) {
	for missing != 0 {
		step := 1
		if missing < 0 {
			step = -1
		}
		s.count[s.furthestFromFair(step)] += step
		missing -= step
	}
}

// furthestFromFair returns the backend that is furthest from its fair share in the direction of step and may still
// take it; of equals the first by name.
func (s *slotTargets) furthestFromFair(step int) int {
	best := -1
	distance := func(k int) float64 { return float64(step) * (s.fair[k] - float64(s.count[k])) }
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
