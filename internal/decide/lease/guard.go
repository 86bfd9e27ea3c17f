// This file owns what a member asks before it acts on a decision outside the log. It must never let one pass that is
// older than what it has acted on.

package lease

// Fence keeps the highest token and index acted on, a duty. The zero value has acted on nothing. It outlives a change
// of owners, not the process: one that starts cold takes its first marks from the log, which has every decision.
type Fence struct{ marks map[string]mark }

type mark struct{ token, index uint64 }

// Admit tells whether a decision may be acted on, and marks it where it may. A lower token, or an index at or under
// the last, is refused.
func (g *Fence) Admit(duty string, token, index uint64) bool {
	last := g.marks[duty]
	if !unfenced && (token < last.token || index <= last.index) {
		return false
	}
	if g.marks == nil {
		g.marks = map[string]mark{}
	}
	if _, known := g.marks[duty]; !known && len(g.marks) >= MaxDuties {
		return false
	}
	g.marks[duty] = mark{token, index}
	return true
}
