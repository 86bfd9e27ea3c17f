// Package emu runs the fleet's decide packages without sockets, at sizes that processes on one machine don't reach:
// the views that membership would hand them are played from a script. It owns the scripts' state for one run and must
// never be linked by cmd/thymechute. Same seed, same run.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"thymechute/internal/decide/subset"
)

// Change is one step of a script of views: a member joins or leaves, a service below joins or leaves. Stable marks
// the end of a stretch of growth or shrinking, where the spread is judged.
type Change struct {
	Join, Leave     string // a member
	Add, Gone       string // a service below
	Stable, Measure bool   // judge the spread here; count what this step opens
}

// Script is the issue's: half the size, grown to the size one by one, shrunk to a third one by one (members chosen by
// the seed), then one service below gone and back. Every size's members number below*size/4... nothing: members are
// m0, m1, ...; services below b0, b1, .... measured marks at most most steps of each kind, spread evenly.
func Script(size, below int, seed uint64, most int) (first []string, belowFirst []string, steps []Change) {
	r := rand.New(rand.NewPCG(seed, 0x7a11))
	for n := range size / 2 {
		first = append(first, subset.Name("m", n))
	}
	for n := range below {
		belowFirst = append(belowFirst, subset.Name("b", n))
	}
	live := slices.Clone(first)
	grow := size - size/2
	every := max(grow/most, 1)
	for n := range grow {
		name := subset.Name("m", size/2+n)
		live = append(live, name)
		steps = append(steps, Change{Join: name, Measure: n%every == 0})
	}
	steps[len(steps)-1].Stable = true
	shrink := size - size/3
	every = max(shrink/most, 1)
	for n := range shrink {
		i := r.IntN(len(live))
		steps = append(steps, Change{Leave: live[i], Measure: n%every == 0})
		live = slices.Delete(live, i, i+1)
	}
	steps[len(steps)-1].Stable = true
	gone := belowFirst[r.IntN(len(belowFirst))]
	steps = append(steps, Change{Gone: gone, Measure: true}, Change{Add: gone, Measure: true, Stable: true})
	return first, belowFirst, steps
}

// WayFigures are one way's over a script.
type WayFigures struct {
	Way           subset.Way
	SpreadWorst   float64 // max over mean connections, worst at a stable point
	ChurnMembers  float64 // opened over least, worst step where a member joins or leaves
	ChurnBelow    float64 // the same where a service below leaves or joins
	MeasuredSteps int
}

// Subsets plays the script once for every way. Members claim ranks as a running fleet would: each keeps the rank the
// last view gave it, and joins with the next epoch.
func Subsets(size, below, per int, seed uint64, most int) ([]WayFigures, error) {
	if size < 6 || below < per || per < 1 {
		return nil, fmt.Errorf("size %d, below %d, subset %d: expected size of 6 and more, 1 to below", size, below, per)
	}
	first, belowNow, steps := Script(size, below, seed, most)
	claims := make([]subset.Claim, len(first))
	for i, name := range first {
		claims[i] = subset.Claim{Name: name, Rank: -1, Since: 0}
	}
	settle := func() {
		ranks := subset.Rank(claims)
		for i := range claims {
			claims[i].Rank = ranks[claims[i].Name]
		}
	}
	settle()
	out := make([]WayFigures, len(subset.Ways))
	for i, w := range subset.Ways {
		out[i].Way = w
	}
	for epoch, c := range steps {
		before := make([]map[string][]string, len(subset.Ways))
		if c.Measure || c.Stable {
			for i, w := range subset.Ways {
				before[i] = subset.Fleet(w, claims, belowNow, per)
			}
		}
		belowBefore := len(belowNow)
		switch {
		case c.Join != "":
			claims = append(claims, subset.Claim{Name: c.Join, Rank: -1, Since: uint64(epoch + 1)})
		case c.Leave != "":
			claims = slices.DeleteFunc(claims, func(x subset.Claim) bool { return x.Name == c.Leave })
		case c.Gone != "":
			belowNow = slices.DeleteFunc(slices.Clone(belowNow), func(b string) bool { return b == c.Gone })
		case c.Add != "":
			belowNow = append(slices.Clone(belowNow), c.Add)
			slices.Sort(belowNow)
		}
		settle()
		if !c.Measure && !c.Stable {
			continue
		}
		for i, w := range subset.Ways {
			after := subset.Fleet(w, claims, belowNow, per)
			if c.Stable {
				out[i].SpreadWorst = max(out[i].SpreadWorst, subset.Spread(after, belowNow))
			}
			if !c.Measure {
				continue
			}
			out[i].MeasuredSteps++
			opened := subset.Opened(before[i], after)
			var least int
			switch {
			case c.Join != "":
				least = subset.Least(per, len(claims), len(belowNow), 1, 0, 0, 0)
			case c.Leave != "":
				least = subset.Least(per, len(claims), len(belowNow), 0, 1, 0, 0)
			case c.Gone != "":
				least = subset.Least(per, len(claims), len(belowNow), 0, 0, 0, belowBefore-len(belowNow))
			default:
				least = subset.Least(per, len(claims), len(belowNow), 0, 0, len(belowNow)-belowBefore, 0)
			}
			ratio := float64(opened) / float64(least)
			if c.Join != "" || c.Leave != "" {
				out[i].ChurnMembers = max(out[i].ChurnMembers, ratio)
			} else {
				out[i].ChurnBelow = max(out[i].ChurnBelow, ratio)
			}
		}
	}
	return out, nil
}
