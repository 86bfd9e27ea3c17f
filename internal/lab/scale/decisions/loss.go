package decisions

import "math/rand/v2"

// Loss is a range of members that fail at once, from From to before To.
type Loss struct {
	Kind     string // one of lossKinds
	From, To int
}

// takes reports whether member n fails.
func (l Loss) takes(n int) bool { return n >= l.From && n < l.To }

// The kinds of losses.
const (
	lossOfMachine = "machine"
	lossOfRack    = "rack"
	lossOfZone    = "zone"
	lossOfRegion  = "region"
)

// lossKinds are the kinds of losses, from the smallest.
var lossKinds = []string{lossOfMachine, lossOfRack, lossOfZone, lossOfRegion}

// lose is the loss of a kind that takes member n.
func (l Layout) lose(kind string, n int) Loss {
	switch kind {
	case lossOfMachine:
		return Loss{kind, n, n + 1}
	case lossOfRack:
		zoneFrom, zoneTo := l.neighbours(n, l.zone)
		size := min(rackMembers, max((zoneTo-zoneFrom)/2, 1))
		from := min(n, zoneTo-size)
		return Loss{kind, from, from + size}
	case lossOfZone:
		from, to := l.neighbours(n, l.zone)
		return Loss{kind, from, to}
	}
	from, to := l.neighbours(n, l.region)
	return Loss{kind, from, to}
}

// neighbours is the range of members around n that have n's value of group.
func (l Layout) neighbours(n int, group func(int) int) (from, to int) {
	from, to = n, n+1
	for from > 0 && group(from-1) == group(n) {
		from--
	}
	for to < l.Size && group(to) == group(n) {
		to++
	}
	return from, to
}

// drawn is a random loss of a kind.
func (l Layout) drawn(kind string, r *rand.Rand) Loss { return l.lose(kind, r.IntN(l.Size)) }

// chance is the random generator of one measurement, by the run's seed and a stream of its own.
func chance(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
