package invariant

import (
	"strings"
	"testing"
	"time"
)

const second = time.Second

// Each violation is reported, and no event that is allowed is reported as one.
func TestEachRule(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(checker *Checker)
		want   string // empty: no violation
	}{
		{"served", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: NonIdempotent, Deadline: second})
			checker.Started(0, "n1", "a", NonIdempotent)
			checker.Completed(second, "t1", Succeeded)
		}, ""},
		{"late", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Completed(2*second, "t1", Rejected)
		}, "rule 1: a: attempt t1 answered 1s late"},
		{"twice", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Completed(0, "t1", Succeeded)
			checker.Completed(0, "t1", Failed)
		}, "rule 1: a: attempt t1 ended as succeeded and as failed"},
		{"never", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
		}, "rule 1: a: attempt t1 at n1 never answered"},
		{"caller gone", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Completed(5*second, "t1", CallerGone)
		}, ""},
		{"not received", func(checker *Checker) { checker.Completed(0, "t1", Succeeded) }, "answered and never received"},
		{"double at one", func(checker *Checker) {
			checker.Started(0, "n1", "a", Idempotent)
			checker.Started(second, "n1", "a", Idempotent)
		}, "rule 2: a: ran at n1 at 0s and again at 1s"},
		{"after the key window", func(checker *Checker) {
			checker.Started(0, "n1", "a", Idempotent)
			checker.Started(61*second, "n1", "a", Idempotent)
		}, ""},
		{"non-idempotent has no key window", func(checker *Checker) {
			checker.Started(0, "n1", "a", NonIdempotent)
			checker.Started(61*second, "n1", "a", NonIdempotent)
		}, "rule 2"},
		{"double at two", func(checker *Checker) {
			checker.Started(0, "n1", "a", Idempotent)
			checker.Started(second, "n2", "a", Idempotent)
		}, "rule 2: a: ran at n1 and at n2"},
		{"safe again", func(checker *Checker) {
			checker.Started(0, "n1", "a", Safe)
			checker.Started(second, "n1", "a", Safe)
			checker.Started(second, "n2", "a", Safe)
		}, ""},
		{"rejected after its run", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Idempotent, Deadline: second})
			checker.Started(0, "n1", "a", Idempotent)
			checker.Completed(0, "t1", Rejected)
		}, "rule 2: a: rejected though it ran"},
		{"after the grace", func(checker *Checker) {
			checker.Draining(0, "n1", second)
			checker.Arrived(2*second, "n1", "a", Executed)
		}, "rule 3: a: arrived 1s after the grace of n1 and ran"},
		{"within the grace", func(checker *Checker) {
			checker.Draining(0, "n1", second)
			checker.Arrived(second, "n1", "a", Executed)
			checker.Arrived(2*second, "n1", "b", Skipped)
		}, ""},
		{"open at the stop", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Stopped(0, "n1", Shutdown)
		}, "rule 3: a: attempt t1 unanswered at the stop of n1"},
		{"killed", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Stopped(0, "n1", Killed)
		}, ""},
		{"memory", func(checker *Checker) { checker.CheckMemory("n1", 33, 32) }, "rule 4"},
	} {
		checker := New(60 * second)
		c.events(checker)
		checker.Finish()
		switch all := checker.Violations(); {
		case c.want == "" && len(all) > 0, c.want != "" && (len(all) != 1 || !strings.Contains(all[0].String(), c.want)):
			t.Errorf("%s: %v, want %q", c.name, all, c.want)
		}
	}
}
