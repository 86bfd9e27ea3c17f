// This file owns who goes first: each zone's instances sorted once, however many waves are chosen from them. It must never
// choose otherwise than by sorting them all anew for each wave.

package rollout

import (
	"cmp"
	"slices"
)

// waiting is one instance to be drained.
type waiting struct {
	Instance
	place  int // among those given
	line   *line
	chosen bool
}

// line is one zone's instances to be drained, voters and the rest apart, the largest first, of equals by name.
type line struct {
	zone         *zone
	spare        float64
	need         float64 // waves that its rest would take
	away         float64 // chosen in this wave
	gone         int
	voters, rest []*waiting
}

// order is all to be drained. It holds one entry an instance, emptied as they are chosen.
type order struct {
	todo  []*waiting // as given
	lines []*line
}

// newOrder sorts these, all of whose zones are known.
func newOrder(todo []Instance, zones map[string]*zone) *order {
	o := &order{todo: make([]*waiting, len(todo))}
	all := make([]waiting, len(todo))
	lines := map[string]*line{}
	for n, i := range todo {
		l := lines[i.Zone]
		if l == nil {
			z := zones[i.Zone]
			l = &line{zone: z, spare: z.spare()}
			lines[i.Zone] = l
			o.lines = append(o.lines, l)
		}
		w := &all[n]
		*w = waiting{Instance: i, place: n, line: l}
		o.todo[n] = w
		if i.Voter {
			l.voters = append(l.voters, w)
		} else {
			l.rest = append(l.rest, w)
		}
	}
	for _, l := range o.lines {
		slices.SortFunc(l.voters, largestFirst)
		slices.SortFunc(l.rest, largestFirst)
	}
	return o
}

func largestFirst(x, y *waiting) int {
	return cmp.Or(-cmp.Compare(x.Capacity, y.Capacity), cmp.Compare(x.Name, y.Name))
}

// choose takes out what may go at once, at most so many (1 and more); voting tells that a voter is away already. A voter is chosen
// first: they go one at a time, so one left out is a wave more. Then zones that need the most waves still come first, in a
// zone the largest, as they leave the smaller to fill up with; of equals by name. The owner goes alone at the end, having
// handed on its duty.
func (o *order) choose(most int, voting bool) (chosen []*waiting) {
	for _, l := range o.lines {
		l.need, l.away, l.gone = 0, 0, 0
	}
	for _, w := range o.todo {
		w.line.need += w.Capacity / max(w.line.spare, 1e-9)
	}
	slices.SortFunc(o.lines, func(x, y *line) int { return -cmp.Compare(x.need, y.need) })
	for _, of := range []func(*line) []*waiting{votersOf, restOf} {
		for from := 0; from < len(o.lines) && len(chosen) < most; {
			to := from + 1
			for to < len(o.lines) && o.lines[to].need == o.lines[from].need {
				to++
			}
			merge(o.lines[from:to], of, func(w *waiting) bool {
				if o.mayGo(w, voting) {
					w.take()
					voting = voting || w.Voter
					chosen = append(chosen, w)
				}
				return len(chosen) < most
			})
			from = to
		}
	}
	o.remove(chosen)
	return chosen
}

func votersOf(l *line) []*waiting { return l.voters }
func restOf(l *line) []*waiting   { return l.rest }

// merge hands out the instances of lines that need alike, the largest first over all of them, until go on says no.
func merge(lines []*line, of func(*line) []*waiting, goOn func(*waiting) bool) {
	next := make([]int, len(lines))
	for {
		best := -1
		for n, l := range lines {
			if next[n] < len(of(l)) && (best < 0 || largestFirst(of(l)[next[n]], of(lines[best])[next[best]]) < 0) {
				best = n
			}
		}
		if best < 0 {
			return
		}
		w := of(lines[best])[next[best]]
		next[best]++
		if !goOn(w) {
			return
		}
	}
}

func (o *order) mayGo(w *waiting, voting bool) bool {
	if w.Owner && len(o.todo) > 1 || w.Voter && voting || w.Busy {
		return false
	}
	return w.line.zone.spares(w.Capacity, w.line.away, w.line.gone)
}

func (w *waiting) take() {
	w.chosen = true
	w.line.away += w.Capacity
	w.line.gone++
}

// remove keeps the others in their order.
func (o *order) remove(chosen []*waiting) {
	if len(chosen) == 0 {
		return
	}
	taken := func(w *waiting) bool { return w.chosen }
	o.todo = slices.DeleteFunc(o.todo, taken)
	for _, w := range chosen {
		w.line.voters = slices.DeleteFunc(w.line.voters, taken)
		w.line.rest = slices.DeleteFunc(w.line.rest, taken)
	}
}
