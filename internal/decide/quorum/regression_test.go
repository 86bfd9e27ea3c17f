package quorum

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// Digests of all changes made below. The last build without regions made the same changes in the same order.
const (
	decisionsDigest = uint64(0x865d17b224ea7230) // of kind and process
	changesDigest   = uint64(0xfc9248fced8125ad) // of kind, process and reason
)

// In a fleet without regions, support for regions must change neither the changes nor their order. The reasons' wording is
// recorded too.
func TestChoiceWithoutRegionsIsUnchanged(t *testing.T) {
	decisions, changes := fnv.New64a(), fnv.New64a()
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
			fmt.Fprintln(decisions, c.Kind, c.Process)
			fmt.Fprintln(changes, c)
			s.apply(t, c)
		}
	}
	if got := decisions.Sum64(); got != decisionsDigest {
		t.Errorf("digest of kinds and processes %#x, want %#x", got, decisionsDigest)
	}
	if got := changes.Sum64(); got != changesDigest {
		t.Errorf("digest of kinds, processes and reasons %#x, want %#x", got, changesDigest)
	}
}
