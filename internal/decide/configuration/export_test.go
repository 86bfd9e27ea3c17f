package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Unfence takes older tokens and versions into the Store while f runs: a mutation that a check must notice.
func Unfence(f func()) { without(&unfenced, f) }

// Tear puts parts of a version in force while f runs: a mutation that a check must notice.
func Tear(f func()) { without(&torn, f) }

// Uncheck compares no digests while f runs: a mutation that a check must notice.
func Uncheck(f func()) { without(&unchecked, f) }

func without(guard *bool, f func()) {
	*guard = true
	defer func() { *guard = false }()
	f()
}

// BucketOf is the bucket that a resource is in.
func BucketOf(r *Resource) uint16 { return uint16(bucketOf(r)) }

// Seal puts the checksum behind a message's body.
func Seal(body []byte) []byte {
	return binary.LittleEndian.AppendUint32(body[:len(body):len(body)], uint32(xxhash.Sum64(body)))
}

// RelayBudget is the most that a relay sends in a minute, for the tests' own sum.
const RelayBudget = relayBudget

// GroupsOf is what a server with a state would answer to Sums, but for its version and root.
func GroupsOf(s *State, ask Sums, at At) Groups {
	answer := Groups{At: at}
	for n, g := range s.groups {
		if uint32(g.sum) != ask.Groups[n] {
			sums := GroupSums{Group: uint8(n)}
			for k, b := range g.buckets {
				sums.Buckets[k] = uint32(b.sum)
			}
			answer.Groups = append(answer.Groups, sums)
		}
	}
	return answer
}

// FillOf is what a server with a state would answer to Buckets, but for its version and root.
func FillOf(s *State, ask Buckets, at At) Fill {
	answer := Fill{At: at}
	for _, b := range ask.Buckets {
		answer.Buckets = append(answer.Buckets, s.bucket(int(b.Bucket)).fill(b))
	}
	return answer
}
