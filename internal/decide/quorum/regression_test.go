package quorum

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// digestBeforeRegions is the digest of all changes below, computed by the last build without regions.
const digestBeforeRegions = uint64(0x1e10fb4481449ac0)

// Without regions the changes, their order and their reasons are those of the last build without regions.
func TestChoiceWithoutRegionsIsUnchanged(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0x70))
		s := &simulation{Fleet{Voters: []string{"p0"}}}
		for n := range 3 + r.IntN(30) {
			s.Members = append(s.Members, Member{Process: fmt.Sprint("p", n), Zone: fmt.Sprint("z", r.IntN(6)),
				Age: time.Duration(r.IntN(200)) * time.Second, CaughtUp: true})
		}
		for range 80 {
			switch m := &s.Members[r.IntN(len(s.Members))]; r.IntN(12) {
			case 0:
				m.UnreachableFor += config.HoldDown
			case 1, 2:
				m.UnreachableFor = 0
			case 3:
				m.Draining = !m.Draining
			}
			c := NextChange(s.Fleet, config)
			fmt.Fprintln(digest, c)
			s.apply(t, c)
		}
	}
	if got := digest.Sum64(); got != digestBeforeRegions {
		t.Errorf("digest %#x, expected %#x", got, digestBeforeRegions)
	}
}
