package emulator

import (
	"math/rand/v2"
	"slices"
	"strconv"
)

// viewEvent is the kind of change in one step of a script.
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
	isStable   bool   // the last of a series of changes, after which the load is measured
	isMeasured bool   // the connections that the step opens are measured
}

// viewScript is an initial view and the changes that follow.
type viewScript struct {
	members, backends []string
	steps             []viewStep
}

// viewScriptStream separates the script's random numbers from others that come from the same seed.
const viewScriptStream = 0x7a11

// newViewScript returns a script that starts with half of the members. The others join one by one, then random members leave
// one by one until a third remains, and at the end a random backend is removed and added again. Members are named m0, m1 and
// so on, backends b0, b1 and so on.
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

// measuredInterval returns n such that measuring every n-th of the steps measures about maxMeasured of them.
func measuredInterval(steps, maxMeasured int) int { return max(steps/maxMeasured, 1) }

// numberedNames returns the prefix with each number from first to end-1.
func numberedNames(prefix string, first, end int) []string {
	names := make([]string, 0, end-first)
	for n := first; n < end; n++ {
		names = append(names, prefix+strconv.Itoa(n))
	}
	return names
}
