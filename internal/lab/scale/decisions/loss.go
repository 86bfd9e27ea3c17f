package decisions

import "math/rand/v2"

// LossKind is what fails at once.
type LossKind string

// The kinds of losses.
const (
	noLoss        LossKind = "none"
	lossOfMachine LossKind = "machine"
	lossOfRack    LossKind = "rack"
	lossOfZone    LossKind = "zone"
	lossOfRegion  LossKind = "region"
)

// lossKinds are the kinds of losses, from the smallest.
var lossKinds = []LossKind{lossOfMachine, lossOfRack, lossOfZone, lossOfRegion}

// Loss is a range of members that fail at once, from From to before To.
type Loss struct {
	Kind     LossKind
	From, To int
}

// contains reports whether member n fails.
func (l Loss) contains(n int) bool { return n >= l.From && n < l.To }

// lossAround is the loss of a kind that takes member n.
func (l Layout) lossAround(kind LossKind, n int) Loss {
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

// randomLoss is a random loss of a kind.
func (l Layout) randomLoss(kind LossKind, r *rand.Rand) Loss {
	return l.lossAround(kind, r.IntN(l.Size))
}

// newRandom is the random generator of one measurement, by the run's seed and a stream of its own.
func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
