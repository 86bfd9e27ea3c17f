package configuration

import "slices"

// differingGroups returns the bucket digests of each group whose digest differs from the one in the request.
func (s *State) differingGroups(m DigestRequest) (groups []GroupDigests) {
	for n, g := range s.groups {
		if shortDigest(g.digest) != m.Groups[n] {
			groups = append(groups, GroupDigests{Group: uint8(n), Buckets: g.shortDigests()})
		}
	}
	return groups
}

// differingBuckets returns the indexes of the buckets whose digests differ from those in the reply, in ascending order.
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

// repairFor returns the repair that turns a peer's bucket into b.
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

// changes returns the changes that the repair makes to b. A replaced resource is one change, not a removal and an addition.
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

// sizeBytes returns the approximate encoded size of the repair.
func (r BucketRepair) sizeBytes() int {
	size := 4 * len(r.Remove)
	for _, added := range r.Add {
		size += added.sizeBytes() + changeOverheadBytes
	}
	return size
}
