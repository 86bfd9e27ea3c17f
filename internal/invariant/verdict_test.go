package invariant

import (
	"strings"
	"testing"
	"time"
)

const s = time.Second

// Each breach is found and named, and nothing that is allowed is taken for one.
func TestEachRule(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *Book)
		want string // empty: no breach
	}{
		{"served", func(b *Book) {
			b.Read(0, "n1", "a", "t1", Effectful, s)
			b.Started(0, "n1", "a", Effectful)
			b.Answered(s, "t1", Fulfilled)
		}, ""},
		{"late", func(b *Book) {
			b.Read(0, "n1", "a", "t1", Pure, s)
			b.Answered(2*s, "t1", TurnedBack)
		}, "rule 1: a: try t1 answered 1s late"},
		{"twice", func(b *Book) {
			b.Read(0, "n1", "a", "t1", Pure, s)
			b.Answered(0, "t1", Fulfilled)
			b.Answered(0, "t1", Scrapped)
		}, "rule 1: a: try t1 ended as fulfilled and as scrapped"},
		{"never", func(b *Book) { b.Read(0, "n1", "a", "t1", Pure, s) }, "rule 1: a: try t1 at n1 never answered"},
		{"gone", func(b *Book) {
			b.Read(0, "n1", "a", "t1", Pure, s)
			b.Answered(5*s, "t1", Gone)
		}, ""},
		{"not read", func(b *Book) { b.Answered(0, "t1", Fulfilled) }, "answered and never read"},
		{"double at one", func(b *Book) {
			b.Started(0, "n1", "a", Receipted)
			b.Started(s, "n1", "a", Receipted)
		}, "rule 2: a: ran at n1 at 0s and again at 1s"},
		{"after its window", func(b *Book) {
			b.Started(0, "n1", "a", Receipted)
			b.Started(61*s, "n1", "a", Receipted)
		}, ""},
		{"effectful has no window", func(b *Book) {
			b.Started(0, "n1", "a", Effectful)
			b.Started(61*s, "n1", "a", Effectful)
		}, "rule 2"},
		{"double at two", func(b *Book) {
			b.Started(0, "n1", "a", Receipted)
			b.Started(s, "n2", "a", Receipted)
		}, "rule 2: a: ran at n1 and at n2"},
		{"pure again", func(b *Book) {
			b.Started(0, "n1", "a", Pure)
			b.Started(s, "n1", "a", Pure)
			b.Started(s, "n2", "a", Pure)
		}, ""},
		{"turned back after its run", func(b *Book) {
			b.Read(0, "n1", "a", "t1", Receipted, s)
			b.Started(0, "n1", "a", Receipted)
			b.Answered(0, "t1", TurnedBack)
		}, "rule 2: a: turned back though it ran"},
		{"after the grace", func(b *Book) {
			b.Notice(0, "n1", s)
			b.Arrived(2*s, "n1", "a", true)
		}, "rule 3: a: arrived 1s after the grace of n1 and ran"},
		{"within the grace", func(b *Book) {
			b.Notice(0, "n1", s)
			b.Arrived(s, "n1", "a", true)
			b.Arrived(2*s, "n1", "b", false)
		}, ""},
		{"open at the stop", func(b *Book) {
			b.Read(0, "n1", "a", "t1", Pure, s)
			b.Stopped(0, "n1", false)
		}, "rule 3: a: try t1 unanswered at the stop of n1"},
		{"killed", func(b *Book) {
			b.Read(0, "n1", "a", "t1", Pure, s)
			b.Stopped(0, "n1", true)
		}, ""},
		{"memory", func(b *Book) { b.Memory("n1", 33, 32) }, "rule 4"},
	} {
		b := New(60 * s)
		c.do(b)
		b.Close(10 * s)
		switch all := b.Breaches(); {
		case c.want == "" && len(all) > 0, c.want != "" && (len(all) != 1 || !strings.Contains(all[0].String(), c.want)):
			t.Errorf("%s: %v, want %q", c.name, all, c.want)
		}
	}
}
