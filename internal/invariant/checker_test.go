package invariant

import (
	"strings"
	"testing"
	"time"
)

const second = time.Second

// Each violation is reported once, and allowed events are not reported.
func TestViolationsAreReportedByRule(t *testing.T) {
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
		{"answered late", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Completed(2*second, "t1", Rejected)
		}, "rule 1: a: attempt t1 was answered 1s after its deadline"},
		{"answered twice", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Completed(0, "t1", Succeeded)
			checker.Completed(0, "t1", Failed)
		}, "rule 1: a: attempt t1 ended twice, as succeeded and then as failed"},
		{"never answered", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
		}, "rule 1: a: attempt t1 at n1 was never answered"},
		{"caller gone", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Completed(5*second, "t1", CallerGone)
		}, ""},
		{"answered but not received", func(checker *Checker) { checker.Completed(0, "t1", Succeeded) }, "rule 1: t1: the attempt was answered but never received"},
		{"run twice at one instance", func(checker *Checker) {
			checker.Started(0, "n1", "a", Idempotent)
			checker.Started(second, "n1", "a", Idempotent)
		}, "rule 2: a: ran twice at n1, at 0s and at 1s"},
		{"idempotent item run again after the key window", func(checker *Checker) {
			checker.Started(0, "n1", "a", Idempotent)
			checker.Started(61*second, "n1", "a", Idempotent)
		}, ""},
		{"non-idempotent item run again after the key window", func(checker *Checker) {
			checker.Started(0, "n1", "a", NonIdempotent)
			checker.Started(61*second, "n1", "a", NonIdempotent)
		}, "rule 2"},
		{"run at two instances", func(checker *Checker) {
			checker.Started(0, "n1", "a", Idempotent)
			checker.Started(second, "n2", "a", Idempotent)
		}, "rule 2: a: ran at two instances, n1 and n2"},
		{"safe item run repeatedly", func(checker *Checker) {
			checker.Started(0, "n1", "a", Safe)
			checker.Started(second, "n1", "a", Safe)
			checker.Started(second, "n2", "a", Safe)
		}, ""},
		{"rejected after its run", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Idempotent, Deadline: second})
			checker.Started(0, "n1", "a", Idempotent)
			checker.Completed(0, "t1", Rejected)
		}, "rule 2: a: rejected although it had run"},
		{"run after the grace period", func(checker *Checker) {
			checker.Draining(0, "n1", second)
			checker.Arrived(2*second, "n1", "a", Executed)
		}, "rule 3: a: ran although it arrived 1s after the end of the grace period of n1"},
		{"run within the grace period", func(checker *Checker) {
			checker.Draining(0, "n1", second)
			checker.Arrived(second, "n1", "a", Executed)
			checker.Arrived(2*second, "n1", "b", Skipped)
		}, ""},
		{"open attempt at a shutdown", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Stopped(0, "n1", Shutdown)
		}, "rule 3: a: attempt t1 was not answered before the shutdown of n1"},
		{"open attempt at a kill", func(checker *Checker) {
			checker.Received(Attempt{ID: "t1", Item: "a", Instance: "n1", Idempotency: Safe, Deadline: second})
			checker.Stopped(0, "n1", Killed)
		}, ""},
		{"memory over the limit", func(checker *Checker) { checker.CheckMemory("n1", 33, 32) }, "rule 4"},
	} {
		checker := New(60 * second)
		c.events(checker)
		checker.Finish()
		switch all := checker.Violations(); {
		case c.want == "" && len(all) > 0, c.want != "" && (len(all) != 1 || !strings.Contains(all[0].String(), c.want)):
			t.Errorf("%s: violations %v, want %q", c.name, all, c.want)
		}
	}
}
