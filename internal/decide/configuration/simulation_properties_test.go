package configuration_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymechute/internal/decide/configuration"
)

// Checks the invariants after each step of any sequence of changes, lease grants, delayed or lost log entries, lost, delayed,
// duplicated, reordered or corrupted messages, partitions and restarts. At the end all nodes must reach the newest version.
func TestMembersOnlyActivateCommittedStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), startHooks{})
		draw := func(t *rapid.T, of []*testNode) *testNode { return of[rapid.IntRange(0, len(of)-1).Draw(t, "node")] }
		inFlight := func(t *rapid.T) int {
			if len(sim.inFlight) == 0 {
				t.Skip("no message in flight")
			}
			return rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message")
		}
		proposal := func(t *rapid.T) int {
			if len(sim.proposed) == 0 {
				t.Skip("no command proposed")
			}
			return rapid.IntRange(0, len(sim.proposed)-1).Draw(t, "proposal")
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance":                     func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"propose":                     func(t *rapid.T) { sim.propose(draw(t, sim.controls), withLeaseCheck) },
			"propose without lease check": func(t *rapid.T) { sim.propose(draw(t, sim.controls), withoutLeaseCheck) },
			"commit":                      func(t *rapid.T) { sim.commit(proposal(t)) },
			"duplicate proposal":          func(t *rapid.T) { sim.proposed = append(sim.proposed, sim.proposed[proposal(t)]) },
			"lose proposal":               func(t *rapid.T) { n := proposal(t); sim.proposed = slices.Delete(sim.proposed, n, n+1) },
			"grant lease":                 func(t *rapid.T) { sim.grantLease(rapid.IntRange(0, 1).Draw(t, "to")) },
			"apply entries":               func(t *rapid.T) { sim.applyEntries(draw(t, sim.controls), rapid.IntRange(1, 9).Draw(t, "entries")) },
			"deliver":                     func(t *rapid.T) { sim.deliver(inFlight(t), intact) },
			"corrupt message":             func(t *rapid.T) { sim.deliver(inFlight(t), corrupted) },
			"duplicate message":           func(t *rapid.T) { sim.inFlight = append(sim.inFlight, sim.inFlight[inFlight(t)]) },
			"lose message":                func(t *rapid.T) { n := inFlight(t); sim.inFlight = slices.Delete(sim.inFlight, n, n+1) },
			"deliver all": func(t *rapid.T) {
				for range len(sim.inFlight) {
					sim.deliver(0, intact)
				}
			},
			"partition": func(t *rapid.T) { node := draw(t, sim.nodes()); node.isPartitioned = !node.isPartitioned },
			"restart":   func(t *rapid.T) { sim.restart(draw(t, sim.nodes()), rapid.IntRange(0, 6).Draw(t, "snapshot")) },
			"": func(t *rapid.T) {
				if err := sim.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
		if err := sim.settle(); err != nil {
			t.Fatal(err)
		}
	})
}

// runRandomSteps runs the simulation with random steps drawn from a seed. The hooks may disable a safeguard.
func runRandomSteps(seed uint64, steps int, onStart startHooks) *simulation {
	sim := newSimulation(seed, onStart)
	r := sim.random
	for range steps {
		switch r.IntN(16) {
		case 0, 1:
			sim.propose(sim.controls[sim.leaseHolder], withLeaseCheck)
		case 2:
			sim.propose(sim.controls[1-sim.leaseHolder], withoutLeaseCheck)
		case 3, 4:
			if len(sim.proposed) > 0 {
				sim.commit(r.IntN(len(sim.proposed)))
			}
		case 5:
			if r.IntN(4) == 0 {
				sim.grantLease(r.IntN(2))
			}
		case 6:
			sim.applyEntries(sim.controls[0], 9)
		case 7:
			sim.applyEntries(sim.controls[1], 9)
		case 8:
			if r.IntN(6) == 0 {
				sim.restart(sim.nodes()[r.IntN(10)], r.IntN(7))
			}
		case 9:
			sim.advance(time.Duration(r.IntN(2000)) * time.Millisecond)
		default:
			for range min(r.IntN(40), len(sim.inFlight)) {
				index, mode := r.IntN(len(sim.inFlight)), intact
				if r.IntN(8) == 0 {
					mode = corrupted
				}
				sim.deliver(index, mode)
			}
		}
	}
	return sim
}

func TestRandomStepsCoverTheFaults(t *testing.T) {
	versions, stale, corrupted := 0, 0, 0
	for seed := range uint64(10) {
		sim := runRandomSteps(seed, 2000, startHooks{})
		if err := sim.settle(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		versions, stale, corrupted = versions+len(sim.committedRoots), stale+sim.staleProposed, corrupted+sim.corruptedCount
	}
	if versions < 100 || stale < 20 || corrupted < 100 {
		t.Errorf("%d versions, %d stale commands proposed, %d messages corrupted, expected at least 100, 20 and 100", versions, stale, corrupted)
	}
	t.Logf("%d versions, %d stale commands proposed, %d messages corrupted", versions, stale, corrupted)
}

func TestChecksDetectEachRemovedSafeguard(t *testing.T) {
	for name, c := range map[string]struct {
		onStart  startHooks
		detected func(sim *simulation) int
	}{
		"fencing":            {startHooks{store: configuration.DisableFencing}, func(sim *simulation) int { return sim.staleAccepted }},
		"atomic apply":       {startHooks{member: configuration.DisableAtomicity}, func(sim *simulation) int { return sim.inconsistent }},
		"digest check":       {startHooks{member: configuration.DisableDigestCheck}, func(sim *simulation) int { return sim.inconsistent }},
		"monotonic versions": {startHooks{store: configuration.DisableFencing}, func(sim *simulation) int { return sim.rolledBack }},
	} {
		t.Run(name, func(t *testing.T) {
			detected := 0
			for seed := range uint64(10) {
				detected += c.detected(runRandomSteps(seed, 2000, c.onStart))
			}
			if detected == 0 {
				t.Errorf("without the safeguard %q the checks detect no fault", name)
			}
		})
	}
}
