package emulator

import (
	"math/rand/v2"
	"slices"
	"strconv"
)

// viewEvent is what happens in one step of a script.
type viewEvent uint8

const (
	memberJoins viewEvent = iota
	memberLeaves
	backendRemoved
	backendAdded
)

// viewStep is one change of a view.
type viewStep struct {
	event      viewEvent
	name       string // of the member or backend
	isStable   bool   // the end of a stretch of changes, where the load is judged
	isMeasured bool   // the connections that the step opens are counted
}

// viewScript is a first view and the changes after it.
type viewScript struct {
	members, backends []string
	steps             []viewStep
}

// viewScriptStream tells the script's random sequence from others of the same seed.
const viewScriptStream = 0x7a11

// newViewScript starts with half of the members, has the others join one by one, then random members leave one by one
// until a third remains, then a random backend removed and added again. Members are named m0, m1, ..., backends b0, b1,
// and so on.
func newViewScript(options SubsetOptions) viewScript {
	random := rand.New(rand.NewPCG(options.Seed, viewScriptStream))
	initial := options.Members / 2
	script := viewScript{members: numberedNames("m", 0, initial), backends: numberedNames("b", 0, options.Backends)}

	joining := numberedNames("m", initial, options.Members)
	interval := measuredInterval(len(joining), options.MaxMeasuredSteps)
	for n, name := range joining {
		script.steps = append(script.steps, viewStep{event: memberJoins, name: name, isMeasured: n%interval == 0})
	}
	script.markStable()

	present := slices.Concat(script.members, joining)
	leaving := options.Members - options.Members/3
	interval = measuredInterval(leaving, options.MaxMeasuredSteps)
	for n := range leaving {
		at := random.IntN(len(present))
		script.steps = append(script.steps, viewStep{event: memberLeaves, name: present[at], isMeasured: n%interval == 0})
		present = slices.Delete(present, at, at+1)
	}
	script.markStable()

	backend := script.backends[random.IntN(len(script.backends))]
	script.steps = append(script.steps,
		viewStep{event: backendRemoved, name: backend, isMeasured: true},
		viewStep{event: backendAdded, name: backend, isMeasured: true, isStable: true})
	return script
}

// markStable marks the last step.
func (s *viewScript) markStable() { s.steps[len(s.steps)-1].isStable = true }

// measuredInterval is such that every interval-th of the steps is measured, about maxMeasured of them.
func measuredInterval(steps, maxMeasured int) int { return max(steps/maxMeasured, 1) }

// numberedNames returns the names from a first number to before an end.
func numberedNames(prefix string, first, end int) []string {
	names := make([]string, 0, end-first)
	for n := first; n < end; n++ {
		names = append(names, prefix+strconv.Itoa(n))
	}
	return names
}
