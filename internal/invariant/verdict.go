// Package verdict checks the four rules from what was recorded: events of any front, in the order in which they
// happened. A work item is named by its caller (a message-id, a key); a try is one reading of it by one instance. It
// owns one entry an item and one a try, for as long as the rig runs, and must never guess: what was not recorded did
// not happen.
package invariant

import (
	"fmt"
	"sort"
	"time"
)

// Kind of a work item: what may be done with it again.
type Kind string

// The kinds.
const (
	Pure      Kind = "pure"
	Receipted Kind = "receipted"
	Effectful Kind = "effectful"
)

// How a try ended.
type How string

// The final answers, and their absence where the caller was known gone.
const (
	Fulfilled  How = "fulfilled"
	TurnedBack How = "turned back"
	Scrapped   How = "scrapped"
	Gone       How = "caller gone"
)

// Breach is a rule that was broken: 1 to 4 as in README.
type Breach struct {
	Rule      int
	Item, Why string
}

func (b Breach) String() string { return fmt.Sprintf("rule %d: %s: %s", b.Rule, b.Item, b.Why) }

type item struct {
	kind Kind
	runs map[string][]time.Duration // starts by instance
}

type try struct {
	item, instance string
	due            time.Duration
	ended          How
	began          bool // a run of the item started at its instance while this try was open
}

type instance struct {
	graceEnd time.Duration // 0: no notice
	open     map[string]struct{}
}

// Book takes events. Times are since the rig's start.
type Book struct {
	window    time.Duration // of receipted items
	items     map[string]*item
	tries     map[string]*try
	instances map[string]*instance
	breaches  []Breach
	counts    map[How]int
	read      int
	// Figures of their own, as the rules count them.
	EndedTwice, Late, DoubleRunsOne, DoubleRunsAll int
}

// New makes an empty one; the window is that within which a receipted item may not run twice at one instance.
func New(window time.Duration) *Book {
	return &Book{window: window, items: map[string]*item{}, tries: map[string]*try{}, instances: map[string]*instance{}, counts: map[How]int{}}
}

func (b *Book) breach(rule int, item, why string, args ...any) {
	b.breaches = append(b.breaches, Breach{rule, item, fmt.Sprintf(why, args...)})
}

func (b *Book) at(name string) *instance {
	i := b.instances[name]
	if i == nil {
		i = &instance{open: map[string]struct{}{}}
		b.instances[name] = i
	}
	return i
}

func (b *Book) item(name string, kind Kind) *item {
	it := b.items[name]
	if it == nil {
		it = &item{kind: kind, runs: map[string][]time.Duration{}}
		b.items[name] = it
	}
	return it
}

// Read: an instance has read a try of an item, to be answered by the due time.
func (b *Book) Read(at time.Duration, instance, name, tryName string, kind Kind, due time.Duration) {
	b.item(name, kind)
	if b.tries[tryName] != nil {
		b.breach(1, name, "try %s read twice", tryName)
		return
	}
	b.read++
	b.tries[tryName] = &try{item: name, instance: instance, due: due}
	b.at(instance).open[tryName] = struct{}{}
}

// Started: the item runs at that instance.
func (b *Book) Started(at time.Duration, instance, name string, kind Kind) {
	it := b.item(name, kind)
	here := b.at(instance)
	if kind != Pure {
		for other, starts := range it.runs {
			if other != instance && len(starts) > 0 {
				b.DoubleRunsAll++
				b.breach(2, name, "ran at %s and at %s", other, instance)
				break
			}
		}
		for _, earlier := range it.runs[instance] {
			if kind == Effectful || at-earlier < b.window {
				b.DoubleRunsOne++
				b.DoubleRunsAll++
				b.breach(2, name, "ran at %s at %v and again at %v", instance, earlier, at)
				break
			}
		}
	}
	it.runs[instance] = append(it.runs[instance], at)
	for t := range here.open {
		if b.tries[t].item == name {
			b.tries[t].began = true
		}
	}
}

// Answered is the end of a try.
func (b *Book) Answered(at time.Duration, tryName string, how How) {
	t := b.tries[tryName]
	switch {
	case t == nil:
		b.EndedTwice++
		b.breach(1, tryName, "answered and never read")
		return
	case t.ended != "":
		b.EndedTwice++
		b.breach(1, t.item, "try %s ended as %s and as %s", tryName, t.ended, how)
		return
	case how != Gone && at > t.due:
		b.Late++
		b.breach(1, t.item, "try %s answered %v late", tryName, at-t.due)
	case how == TurnedBack && t.began && b.items[t.item].kind != Pure:
		b.breach(2, t.item, "turned back though it ran")
	}
	t.ended = how
	b.counts[how]++
	delete(b.at(t.instance).open, tryName)
}

// Notice: the instance is to leave; what arrives after the grace may not run.
func (b *Book) Notice(at time.Duration, name string, grace time.Duration) {
	b.at(name).graceEnd = at + grace
}

// Arrived after the notice is checked at the start of its run: this tells of one that ran though it came too late.
func (b *Book) Arrived(at time.Duration, name, item string, ran bool) {
	if i := b.at(name); ran && i.graceEnd > 0 && at > i.graceEnd {
		b.breach(3, item, "arrived %v after the grace of %s and ran", at-i.graceEnd, name)
	}
}

// Stopped: the instance is gone. After a notice nothing may be open; a killed one's callers are gone.
func (b *Book) Stopped(at time.Duration, name string, killed bool) {
	i := b.at(name)
	for _, t := range names(i.open) {
		if !killed {
			b.breach(3, b.tries[t].item, "try %s unanswered at the stop of %s", t, name)
		}
		b.Answered(at, t, Gone)
	}
	i.graceEnd = 0
}

// Memory of an instance, most seen, against its limit.
func (b *Book) Memory(name string, most, limit int64) {
	if most > limit {
		b.breach(4, name, "%d bytes, over its %d", most, limit)
	}
}

// Close ends the record: whatever is still open was never answered.
func (b *Book) Close(at time.Duration) {
	for _, t := range names(b.tries) {
		if b.tries[t].ended == "" {
			b.breach(1, b.tries[t].item, "try %s at %s never answered", t, b.tries[t].instance)
		}
	}
}

func names[T any](m map[string]T) (all []string) {
	for name := range m {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

// Breaches are all that were found, in the order of finding.
func (b *Book) Breaches() []Breach { return b.breaches }

// Count is how many tries ended so; Tries how many were read; Ran how many items ran at all.
func (b *Book) Count(how How) int { return b.counts[how] }

// Tries is how many were read.
func (b *Book) Tries() int { return b.read }

// Ran is how many items ran at least once.
func (b *Book) Ran() (n int) {
	for _, it := range b.items {
		if len(it.runs) > 0 {
			n++
		}
	}
	return n
}
