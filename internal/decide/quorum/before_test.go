package quorum

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// beforeRegions is the digest of all changes below, taken from the choice as it was before it knew regions.
const beforeRegions = uint64(0x1e10fb4481449ac0)

// Where no region is known the choice is what it was: the same changes, in the same order, with the same reasons.
func TestWithoutRegionsTheChoiceIsAsBefore(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0x70))
		p := &play{voters: []string{"p0"}}
		for n := range 3 + r.IntN(30) {
			p.members = append(p.members, Member{Process: fmt.Sprint("p", n), Zone: fmt.Sprint("z", r.IntN(6)),
				Age: time.Duration(r.IntN(200)) * time.Second, CaughtUp: true})
		}
		for range 80 {
			switch m := &p.members[r.IntN(len(p.members))]; r.IntN(12) {
			case 0:
				m.UnreachableFor += bounds.HoldDown
			case 1, 2:
				m.UnreachableFor = 0
			case 3:
				m.Draining = !m.Draining
			}
			c := NextChange(p.members, p.voters, p.learners, false, bounds)
			fmt.Fprintln(digest, c)
			p.apply(t, c)
		}
	}
	if got := digest.Sum64(); got != beforeRegions {
		t.Errorf("digest %#x, expected %#x", got, beforeRegions)
	}
}
