package decisions

import "math/rand/v2"

// LossKind is the failure domain of a loss.
type LossKind string

// The kinds of losses.
const (
	noLoss        LossKind = "none"
	lossOfMachine LossKind = "machine"
	lossOfRack    LossKind = "rack"
	lossOfZone    LossKind = "zone"
	lossOfRegion  LossKind = "region"
)

// lossKinds are the kinds of losses, the smallest first.
var lossKinds = []LossKind{lossOfMachine, lossOfRack, lossOfZone, lossOfRegion}

// Loss is a half-open range [From, To) of members, or of backends, that fail at the same time.
type Loss struct {
	Kind     LossKind
	From, To int
}

// contains reports whether member n is lost.
func (l Loss) contains(n int) bool { return n >= l.From && n < l.To }

// lossAround returns a loss of that kind that contains member n.
func (l Layout) lossAround(kind LossKind, n int) Loss {
	switch kind {
	case lossOfMachine:
		return Loss{kind, n, n + 1}
	case lossOfRack:
		zoneFrom, zoneTo := l.groupAround(n, l.zone)
		size := min(rackMembers, max((zoneTo-zoneFrom)/2, 1))
		from := min(n, zoneTo-size)
		return Loss{kind, from, from + size}
	case lossOfZone:
		from, to := l.groupAround(n, l.zone)
		return Loss{kind, from, to}
	}
	from, to := l.groupAround(n, l.region)
	return Loss{kind, from, to}
}

// groupAround returns the half-open range of members around n that are in the same group as n.
func (l Layout) groupAround(n int, group func(int) int) (from, to int) {
	from, to = n, n+1
	for from > 0 && group(from-1) == group(n) {
		from--
	}
	for to < l.Size && group(to) == group(n) {
		to++
	}
	return from, to
}

// randomLoss returns the loss of that kind around a random member.
func (l Layout) randomLoss(kind LossKind, r *rand.Rand) Loss {
	return l.lossAround(kind, r.IntN(l.Size))
}

// newRandom returns the random generator of one measurement. The stream separates it from other measurements with the same seed.
func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
