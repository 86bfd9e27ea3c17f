// This file owns the cold backends at the owner of the duty "ring": what part of its weight each has by now, and the
// next lot. It must never say a lot sooner than Every after the one before it came back in the log.

package ring

import (
	"maps"
	"time"
)

// mostGone bounds the processes that one lot takes off the roster; the rest waits for the next.
const mostGone = 64

// Ramps are an owner's. Its table holds one Pace a cold backend, emptied by Weighted.
type Ramps struct {
	ramp   Ramp
	budget Budget
	terms  Terms
	paces  map[string]*Pace
	due    time.Duration // of the next lot, or of saying the one that is out again
	out    *Lot          // said and not seen in the log yet
}

// NewRamps is of an owner that has just taken over: the lots of the one before lie before its takeover in the log.
func NewRamps(now time.Duration, r Ramp, b Budget, l Terms) *Ramps {
	return &Ramps{ramp: r, budget: b, terms: l, paces: map[string]*Pace{}, due: now + b.Every}
}

// Weighted is what should be there with the part that each cold backend may have by now: one that want calls cold and
// that does not stand warm in the table yet. One that another owner has begun goes on from the part in the table.
func (r *Ramps) Weighted(now time.Duration, want []Backend, t *Table) []Backend {
	weighted, cold := make([]Backend, len(want)), map[string]bool{}
	for n, w := range want {
		weighted[n] = w
		in, there := t.named(w.Name)
		if !w.Cold || there && !in.Cold {
			weighted[n].Cold = false
			continue
		}
		cold[w.Name] = true
		if r.paces[w.Name] == nil {
			r.paces[w.Name] = &Pace{}
			if there {
				*r.paces[w.Name] = Resumed(now, r.ramp, in.Weight/w.Weight)
			}
		}
		part := r.paces[w.Name].Part(now, r.ramp, 0, 0)
		weighted[n].Weight, weighted[n].Cold = w.Weight*part, part < 1
	}
	maps.DeleteFunc(r.paces, func(name string, _ *Pace) bool { return !cold[name] })
	return weighted
}

// Next is the lot to be said now, if any; there tells which processes still acknowledge.
func (r *Ramps) Next(now time.Duration, a *Agreed, there func(process string) bool) (Lot, bool) {
	if now < r.due || !a.Table.Cold() {
		return Lot{}, false
	}
	if r.out != nil && r.out.Number > a.Lot { // lost, or still on its way: under the same number it counts once
		r.due = now + r.terms.Length/4
		return *r.out, true
	}
	l := Lot{Number: a.Lot + 1}
	for _, b := range a.Table.backends {
		if p := r.paces[b.Name]; b.Cold && p != nil {
			l.Calls = append(l.Calls, LotCalls{b.Name, r.budget.lot(l.Number, p.part, r.terms)})
		}
	}
	for _, process := range a.Roster {
		if !there(process) && len(l.Gone) < mostGone {
			l.Gone = append(l.Gone, process)
		}
	}
	r.out, r.due = &l, now+r.terms.Length/4
	return l, true
}

// Granted: a lot is in the log.
func (r *Ramps) Granted(now time.Duration) { r.out, r.due = nil, now+r.budget.Every }
