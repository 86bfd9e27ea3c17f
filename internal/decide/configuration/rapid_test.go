package configuration_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymechute/internal/decide/configuration"
)

// Any order of changes, owners, entries late or lost, messages lost, late, doubled, overtaken and altered, cuts, restarts.
func TestNoMemberEverHasWhatWasNotAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		some := func(t *rapid.T, of []*station) *station { return of[rapid.IntRange(0, len(of)-1).Draw(t, "which")] }
		inFlight := func(t *rapid.T) int {
			if len(w.flight) == 0 {
				t.Skip("nothing in flight")
			}
			return rapid.IntRange(0, len(w.flight)-1).Draw(t, "message")
		}
		proposal := func(t *rapid.T) int {
			if len(w.proposed) == 0 {
				t.Skip("nothing proposed")
			}
			return rapid.IntRange(0, len(w.proposed)-1).Draw(t, "proposal")
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"submit":  func(t *rapid.T) { w.submit(some(t, w.controls), true) },
			"late":    func(t *rapid.T) { w.submit(some(t, w.controls), false) },
			"commit":  func(t *rapid.T) { w.commit(proposal(t)) },
			"again":   func(t *rapid.T) { w.proposed = append(w.proposed, w.proposed[proposal(t)]) },
			"lose":    func(t *rapid.T) { n := proposal(t); w.proposed = slices.Delete(w.proposed, n, n+1) },
			"grant":   func(t *rapid.T) { w.grant(rapid.IntRange(0, 1).Draw(t, "to")) },
			"hear":    func(t *rapid.T) { w.hear(some(t, w.controls), rapid.IntRange(1, 9).Draw(t, "entries")) },
			"deliver": func(t *rapid.T) { w.deliver(inFlight(t), false) },
			"alter":   func(t *rapid.T) { w.deliver(inFlight(t), true) },
			"double":  func(t *rapid.T) { w.flight = append(w.flight, w.flight[inFlight(t)]) },
			"drop":    func(t *rapid.T) { n := inFlight(t); w.flight = slices.Delete(w.flight, n, n+1) },
			"all": func(t *rapid.T) {
				for range len(w.flight) {
					w.deliver(0, false)
				}
			},
			"cut":     func(t *rapid.T) { s := some(t, w.all()); s.cut = !s.cut },
			"restart": func(t *rapid.T) { w.restart(some(t, w.all()), rapid.IntRange(0, 6).Draw(t, "kept")) },
			"": func(t *rapid.T) {
				if err := w.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
		if err := w.settle(); err != nil {
			t.Fatal(err)
		}
	})
}

// play is the same world by chance alone: for the mutations, which have to be seen.
func play(seed uint64, steps int) *world {
	w := newWorld(seed)
	r := w.chance
	for range steps {
		switch r.IntN(16) {
		case 0, 1:
			w.submit(w.controls[w.owner], true)
		case 2:
			w.submit(w.controls[1-w.owner], false)
		case 3, 4:
			if len(w.proposed) > 0 {
				w.commit(r.IntN(len(w.proposed)))
			}
		case 5:
			if r.IntN(4) == 0 {
				w.grant(r.IntN(2))
			}
		case 6:
			w.hear(w.controls[0], 9)
		case 7:
			w.hear(w.controls[1], 9)
		case 8:
			if r.IntN(6) == 0 {
				w.restart(w.all()[r.IntN(10)], r.IntN(7))
			}
		case 9:
			w.advance(time.Duration(r.IntN(2000)) * time.Millisecond)
		default:
			for range min(r.IntN(40), len(w.flight)) {
				w.deliver(r.IntN(len(w.flight)), r.IntN(8) == 0)
			}
		}
	}
	return w
}

func TestPlayTriesWhatItShould(t *testing.T) {
	versions, stale, altered := 0, 0, 0
	for seed := range uint64(10) {
		w := play(seed, 2000)
		if err := w.settle(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		versions, stale, altered = versions+len(w.truth), stale+w.staleTried, altered+w.altered
	}
	if versions < 100 || stale < 20 || altered < 100 {
		t.Errorf("%d versions, %d stale commands tried, %d messages altered: too few to say anything", versions, stale, altered)
	}
	t.Logf("%d versions, %d stale commands tried, %d messages altered", versions, stale, altered)
}

func TestWithAGuardTakenOutTheChecksFail(t *testing.T) {
	for name, c := range map[string]struct {
		without func(func())
		seen    func(w *world) int
	}{
		"the fence":          {configuration.Unfence, func(w *world) int { return w.staleTaken }},
		"all or nothing":     {configuration.Tear, func(w *world) int { return w.torn }},
		"the digests' check": {configuration.Uncheck, func(w *world) int { return w.torn }},
		"versions that grow": {configuration.Unfence, func(w *world) int { return w.back }},
	} {
		t.Run(name, func(t *testing.T) {
			c.without(func() {
				seen := 0
				for seed := range uint64(10) {
					seen += c.seen(play(seed, 2000))
				}
				if seen == 0 {
					t.Errorf("with %s taken out the checks see nothing", name)
				}
			})
		})
	}
}
