package configuration

import "slices"

// differingGroups are the digests of the groups that are not as in the request.
func (s *State) differingGroups(m DigestRequest) (groups []GroupDigests) {
	for n, g := range s.groups {
		if shortDigest(g.digest) != m.Groups[n] {
			groups = append(groups, GroupDigests{Group: uint8(n), Buckets: g.shortDigests()})
		}
	}
	return groups
}

// differingBuckets are the indexes of the buckets that are not as in the reply, in its order.
func (s *State) differingBuckets(m DigestReply) (indexes []uint16) {
	for _, group := range m.Groups {
		own := s.groups[group.Group].shortDigests()
		for n, digest := range group.Buckets {
			if own[n] != digest {
				indexes = append(indexes, uint16(int(group.Group)*digestFanOut+n))
			}
		}
	}
	return indexes
}

// repairFor turns a peer's bucket into this one.
func (b *bucket) repairFor(peer BucketDigests) BucketRepair {
	repair := BucketRepair{Bucket: peer.Bucket}
	for _, r := range b.entries {
		if !slices.Contains(peer.Digests, shortDigest(r.digest)) {
			repair.Add = append(repair.Add, r)
		}
	}
	for _, digest := range peer.Digests {
		if !slices.ContainsFunc(b.entries, func(r *Resource) bool { return shortDigest(r.digest) == digest }) {
			repair.Remove = append(repair.Remove, digest)
		}
	}
	return repair
}

// changes are what the repair does to a bucket. A resource that is replaced is one change, not a removal and an addition.
func (r BucketRepair) changes(b *bucket) []Change {
	var changes []Change
	for _, entry := range b.entries {
		isReplaced := slices.ContainsFunc(r.Add, func(added *Resource) bool { return compareKeys(added, entry) == 0 })
		if slices.Contains(r.Remove, shortDigest(entry.digest)) && !isReplaced {
			changes = append(changes, Change{Resource: entry, Removed: true})
		}
	}
	for _, added := range r.Add {
		changes = append(changes, Change{Resource: added})
	}
	return changes
}

// sizeBytes is the approximate encoded size.
func (r BucketRepair) sizeBytes() int {
	size := 4 * len(r.Remove)
	for _, added := range r.Add {
		size += added.sizeBytes() + changeOverheadBytes
	}
	return size
}
