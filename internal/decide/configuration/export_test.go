package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DisableFencing makes a store accept older tokens and versions. The tests' checks must detect that.
func DisableFencing(s *Store) { s.isFencingDisabled = true }

// DisableAtomicity makes a member activate parts of a version. The tests' checks must detect that.
func DisableAtomicity(m *Member) { m.disabled.atomicity = true }

// DisableDigestCheck makes a member skip the comparison of root digests. The tests' checks must detect that.
func DisableDigestCheck(m *Member) { m.disabled.digestCheck = true }

// BucketIndex returns the index of a resource's bucket.
func BucketIndex(r *Resource) uint16 { return uint16(bucketIndex(r)) }

// AppendChecksum returns an encoded message's body followed by its checksum. It does not use the encoder that the tests check.
func AppendChecksum(body []byte) []byte {
	return binary.LittleEndian.AppendUint32(body[:len(body):len(body)], uint32(xxhash.Sum64(body)))
}

// RelayBudgetBytes is the number of bytes that a relay may send in a minute.
const RelayBudgetBytes = relayBudgetBytes

// DigestReplyOf returns the reply of a server with the state s, but with a position that the caller chooses. It does not use the
// server's own comparison, so that the tests check one against the other.
func DigestReplyOf(s *State, request DigestRequest, position Position) DigestReply {
	reply := DigestReply{Position: position}
	for n, group := range s.groups {
		if uint32(group.digest) == request.Groups[n] {
			continue
		}
		digests := GroupDigests{Group: uint8(n)}
		for k, bucket := range group.buckets {
			digests.Buckets[k] = uint32(bucket.digest)
		}
		reply.Groups = append(reply.Groups, digests)
	}
	return reply
}

// RepairReplyOf returns the reply of a server with the state s, but with a position that the caller chooses.
func RepairReplyOf(s *State, request RepairRequest, position Position) RepairReply {
	reply := RepairReply{Position: position}
	for _, b := range request.Buckets {
		reply.Buckets = append(reply.Buckets, s.bucket(int(b.Bucket)).repairFor(b))
	}
	return reply
}
