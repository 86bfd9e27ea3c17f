package ring

import "math"

// FailoverTarget returns the backend that is preferred to take over a slot if its owner fails: one in another zone if there
// is any. All members compute the same target. It changes only if the target is removed or a backend that becomes the
// target is added. FailoverTarget returns false if there is no other backend.
func (t *Table) FailoverTarget(slot int) (*Backend, bool) {
	if index, ok := t.failoverAmong(slot, nil); ok {
		return &t.backends[index], true
	}
	return nil, false
}

// failoverAmong returns the index of the failover target among the remaining backends: those whose entry in remaining is
// not unassigned, or all if remaining is nil.
func (t *Table) failoverAmong(slot int, remaining []int16) (best int, ok bool) {
	owner := t.slots[slot]
	best, bestScore, bestInOtherZone := -1, math.Inf(-1), false
	for n := range t.backends {
		if int16(n) == owner || remaining != nil && remaining[n] == unassigned {
			continue
		}
		b := &t.backends[n]
		inOtherZone := owner != unassigned && b.zoneIndex != t.backends[owner].zoneIndex
		if bestInOtherZone && !inOtherZone {
			continue
		}
		score := t.rendezvousScore(b, slot)
		if inOtherZone && !bestInOtherZone || score > bestScore {
			best, bestScore, bestInOtherZone = n, score, inOtherZone
		}
	}
	return best, best >= 0
}

// rendezvousScore returns the score of a backend for a slot in weighted rendezvous hashing: -weight/log(u), where u is a
// hash of slot and name, uniform between 0 and 1.
func (t *Table) rendezvousScore(b *Backend, slot int) float64 {
	u := (float64(rendezvousHash(b.hash, slotSalt(slot))) + 0.5) / (1 << 53)
	if t.equalWeights {
		return u // gives the same order, without the cost of the logarithm
	}
	return -b.Weight / math.Log(u)
}

// slotSalt returns the value that rendezvousHash combines with a backend's hash to make it differ by slot.
func slotSalt(slot int) uint64 { return (uint64(slot) + 1) * 0x9e3779b97f4a7c15 }

// rendezvousHash mixes a backend's hash and a slot's salt into 53 bits by a step of the MurmurHash3 finalizer: a
// multiplication without its shifts would leave the low bits too similar.
func rendezvousHash(backendHash, salt uint64) uint64 {
	h := backendHash ^ salt
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h >> 11
}

// failoverCandidates holds the remaining backends as one slice per field, for a plan that searches many failover targets.
type failoverCandidates struct {
	hash  []uint64
	zone  []int32
	index []int32 // in Table.backends
}

// failoverFinder returns a function that gives the same result as failoverAmong, for slots whose owner does not remain. If
// all weights are equal it compares hashes directly, which reduces the time of a plan after the loss of a region to a
// quarter.
func (t *Table) failoverFinder(remaining []int16) func(slot int) (best int, ok bool) {
	if !t.equalWeights {
		return func(slot int) (int, bool) { return t.failoverAmong(slot, remaining) }
	}
	var candidates failoverCandidates
	for n := range t.backends {
		if remaining[n] != unassigned {
			candidates.hash = append(candidates.hash, t.backends[n].hash)
			candidates.zone = append(candidates.zone, int32(t.backends[n].zoneIndex))
			candidates.index = append(candidates.index, int32(n))
		}
	}
	return func(slot int) (int, bool) {
		if best, ok := candidates.bestInOtherZone(slot, int32(t.backends[t.slots[slot]].zoneIndex)); ok {
			return best, true
		}
		return t.failoverAmong(slot, remaining) // no backend remains in another zone
	}
}

// bestInOtherZone returns the candidate with the highest rendezvous score that is not in this zone; of several the first,
// as failoverAmong does.
func (c *failoverCandidates) bestInOtherZone(slot int, zone int32) (best int, ok bool) {
	salt := slotSalt(slot)
	highest, position := uint64(0), -1
	zones := c.zone[:len(c.hash)]
	for n, backendHash := range c.hash {
		h := rendezvousHash(backendHash, salt)
		if h < highest || zones[n] == zone {
			continue
		}
		if position < 0 || float64(h)+0.5 > float64(highest)+0.5 {
			highest, position = h, n
		}
	}
	if position < 0 {
		return -1, false
	}
	return int(c.index[position]), true
}
