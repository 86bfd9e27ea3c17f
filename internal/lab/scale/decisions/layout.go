// This file owns where the emulated members stand, and which of them a loss takes.

package decisions

import (
	"fmt"
	"math/rand/v2"

	"thymechute/internal/decide/ring"
)

const (
	membersPerZone = 30 // 1,200 members in 40 zones
	tenZones       = 10 // the other reading: ten zones in all
	rackMembers    = 30
	backendsPart   = 12 // five backends for each twelve members: 500 beside 1,200
)

// Layout is a fleet: members numbered through the zones, zones through the regions.
type Layout struct{ Size, Zones, Regions int }

func (l Layout) zone(n int) int   { return n * l.Zones / l.Size }
func (l Layout) region(n int) int { return l.zone(n) * l.Regions / l.Zones }

func (l Layout) zoneName(n int) string { return fmt.Sprintf("r%d-z%02d", l.region(n), l.zone(n)) }

func (l Layout) label() string { return fmt.Sprintf("%dz", l.Zones) }

// processName is a member's identity as the log has it: a name and its life.
func processName(n, life int) string {
	return fmt.Sprintf("instance-%04d#%x", n, uint64(0x18f3a2b4c5000000)+uint64(life))
}

// backends stand in the same zones, five for each twelve members.
func (l Layout) backends() []ring.Backend {
	b := Layout{Size: l.Size * 5 / backendsPart, Zones: l.Zones, Regions: l.Regions}
	out := make([]ring.Backend, b.Size)
	for n := range out {
		out[n] = ring.Backend{Name: fmt.Sprintf("backend-%04d", n), Zone: b.zoneName(n), Weight: 1}
	}
	return out
}

// slots is the ring's size for so many backends: at least 128 each, 65,536 beside 500.
func (l Layout) slots() int {
	slots := 64
	for slots < 128*l.Size*5/backendsPart && slots < ring.MaxSlots {
		slots *= 2
	}
	return slots
}

// Loss is the members that go at once: from From to before To.
type Loss struct {
	Kind     string
	From, To int
}

func (l Loss) takes(n int) bool { return n >= l.From && n < l.To }

// lossKinds from the smallest.
var lossKinds = []string{"machine", "rack", "zone", "region"}

// lose draws one loss of a kind that takes member n.
func (l Layout) lose(kind string, n int) Loss {
	same := func(of func(int) int) Loss {
		from, to := n, n+1
		for from > 0 && of(from-1) == of(n) {
			from--
		}
		for to < l.Size && of(to) == of(n) {
			to++
		}
		return Loss{kind, from, to}
	}
	switch kind {
	case "machine":
		return Loss{kind, n, n + 1}
	case "rack":
		zone := same(l.zone)
		size := min(rackMembers, max((zone.To-zone.From)/2, 1))
		from := min(n, zone.To-size)
		return Loss{kind, from, from + size}
	case "zone":
		return same(l.zone)
	}
	return same(l.region)
}

// drawn is one loss of a kind anywhere.
func (l Layout) drawn(kind string, r *rand.Rand) Loss { return l.lose(kind, r.IntN(l.Size)) }

func chance(seed uint64, of uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, of)) }
