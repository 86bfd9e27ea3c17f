package ring

import "math"

// FailoverTarget returns the backend that takes a slot first if its owner fails: one in another zone if there is one.
// All members compute the same target, and it changes only when the target itself joins or leaves. It returns false
// if there is no other backend.
func (t *Table) FailoverTarget(slot int) (*Backend, bool) {
	if index, ok := t.failoverAmong(slot, nil); ok {
		return &t.backends[index], true
	}
	return nil, false
}

// failoverAmong is FailoverTarget among the backends that are assigned an index in remaining; nil means all.
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
		score := t.score(b, slot)
		if inOtherZone && !bestInOtherZone || score > bestScore {
			best, bestScore, bestInOtherZone = n, score, inOtherZone
		}
	}
	return best, best >= 0
}

// score is the weighted rendezvous score: -weight/log(u), with u uniform by slot and name.
func (t *Table) score(b *Backend, slot int) float64 {
	u := (float64(rendezvousHash(b.hash, slotSalt(slot))) + 0.5) / (1 << 53)
	if t.equalWeights {
		return u // the same order without the logarithm
	}
	return -b.Weight / math.Log(u)
}

// slotSalt makes a backend's hash differ by slot.
func slotSalt(slot int) uint64 { return (uint64(slot) + 1) * 0x9e3779b97f4a7c15 }

// rendezvousHash mixes a backend's hash with a slot's salt into 53 bits, with the finalizer of MurmurHash3: the product
// alone would leave the low bits alike.
func rendezvousHash(backendHash, salt uint64) uint64 {
	h := backendHash ^ salt
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h >> 11
}

// failoverCandidates are the remaining backends in columns, for a plan that searches many failover targets.
type failoverCandidates struct {
	hash  []uint64
	zone  []int32
	index []int32 // in the table's backends
}

// failoverFinder returns a failoverAmong for slots whose owner does not remain. With equal weights it compares hashes
// directly: a plan after the loss of a region then takes a quarter of the time.
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
		if best, ok := candidates.bestOutside(slot, int32(t.backends[t.slots[slot]].zoneIndex)); ok {
			return best, true
		}
		return t.failoverAmong(slot, remaining) // no backend remains in another zone
	}
}

// bestOutside returns the candidate of another zone with the highest score, the first of equals, as Table.score has it.
func (c *failoverCandidates) bestOutside(slot int, zone int32) (best int, ok bool) {
	salt := slotSalt(slot)
	highest, at := uint64(0), -1
	zones := c.zone[:len(c.hash)]
	for n, backendHash := range c.hash {
		h := rendezvousHash(backendHash, salt)
		if h < highest || zones[n] == zone {
			continue
		}
		if at < 0 || float64(h)+0.5 > float64(highest)+0.5 {
			highest, at = h, n
		}
	}
	if at < 0 {
		return -1, false
	}
	return int(c.index[at]), true
}
