package settings

import "fmt"

// Changes lists the resources of one kind that differ between two versions of the settings.
type Changes[T any] struct {
	Set     []T      // complete settings of added and changed resources
	Removed []string // names of removed resources
}

func (c *Changes[T]) isEmpty() bool { return len(c.Set) == 0 && len(c.Removed) == 0 }

// Delta is the difference between two consecutive versions of the settings. Resources that it does not
// mention are unchanged.
type Delta struct {
	From    uint64  // version to which the delta applies
	To      uint64  // resulting version
	Server  *Server // nil: unchanged
	Classes Changes[Class]
	Tenants Changes[Tenant]
}

// IsEmpty reports whether the delta contains no change.
func (d *Delta) IsEmpty() bool { return d.Server == nil && d.Classes.isEmpty() && d.Tenants.isEmpty() }

// IdempotencyChangedError reports a change of the idempotency of a class. The change needs a restart, because
// the idempotency keys in the key table were recorded under the previous kind.
type IdempotencyChangedError struct {
	Class    string      // name of the class
	Expected Idempotency // current kind
	Found    Idempotency // kind in the new settings
}

func (e *IdempotencyChangedError) Error() string {
	return fmt.Sprintf("settings.classes: class %q: found repeat %q, expected %q (a change needs a restart)",
		e.Class, e.Found, e.Expected)
}

// CheckIdempotency returns an *IdempotencyChangedError if next can't replace previous while the server is
// running. A missing kind of idempotency may be added.
func CheckIdempotency(previous, next Class) error {
	if previous.Idempotency != "" && previous.Idempotency != next.Idempotency {
		return &IdempotencyChangedError{previous.Name, previous.Idempotency, next.Idempotency}
	}
	return nil
}

// entriesPerPause is the number of entries compared between two calls of pause. Comparing them takes a few
// hundred microseconds.
const entriesPerPause = 4096

// Compare returns the delta between two settings, where previous has the version from and next the version
// from+1. It calls pause after every entriesPerPause entries, so that the goroutine can yield the processor
// to latency-sensitive work. Entries without a name are ignored. The error is the first
// *IdempotencyChangedError, if any.
func Compare(from uint64, previous, next Settings, pause func()) (Delta, error) {
	delta := Delta{From: from, To: from + 1}
	if previous.Server != next.Server {
		server := next.Server
		delta.Server = &server
	}
	var firstErr error
	delta.Classes = compareLists(previous.Classes, next.Classes, pause, func(previous, next Class) {
		if firstErr == nil {
			firstErr = CheckIdempotency(previous, next)
		}
	})
	delta.Tenants = compareLists(previous.Tenants, next.Tenants, pause, func(_, _ Tenant) {})
	return delta, firstErr
}

// resource is a class or a tenant, identified by its name.
type resource interface {
	comparable
	ResourceName() string
}

// pauseCounter counts the compared entries and calls pause after every entriesPerPause entries.
type pauseCounter struct {
	compared int
	pause    func()
}

func (c *pauseCounter) countEntry() {
	c.compared++
	if c.compared%entriesPerPause == 0 {
		c.pause()
	}
}

// compareLists returns the changes between two lists. It calls onChange for each resource that is in both
// lists with different settings. It takes time linear in the length of the lists, and memory only for the
// entries that remain after the equal entries at both ends are removed.
func compareLists[T resource](previous, next []T, pause func(),
	onChange func(previous, next T)) (changes Changes[T]) {
	counter := &pauseCounter{pause: pause}
	previous, next = trimEqualEnds(previous, next, counter)
	remaining := indexByName(previous, counter) // resources of previous not found in next so far
	for _, entry := range next {
		counter.countEntry()
		name := entry.ResourceName()
		if name == "" {
			continue
		}
		index, existed := remaining[name]
		delete(remaining, name)
		if existed && previous[index] == entry {
			continue
		}
		if existed {
			onChange(previous[index], entry)
		}
		changes.Set = append(changes.Set, entry)
	}
	for _, entry := range previous { // in the order of the list, for a deterministic result
		counter.countEntry()
		if _, isRemoved := remaining[entry.ResourceName()]; isRemoved {
			changes.Removed = append(changes.Removed, entry.ResourceName())
		}
	}
	return changes
}

// trimEqualEnds removes the equal entries at the start and at the end of two lists.
func trimEqualEnds[T resource](previous, next []T, counter *pauseCounter) (previousRest, nextRest []T) {
	for len(previous) > 0 && len(next) > 0 && previous[0] == next[0] {
		previous = previous[1:]
		next = next[1:]
		counter.countEntry()
	}
	for len(previous) > 0 && len(next) > 0 && previous[len(previous)-1] == next[len(next)-1] {
		previous = previous[:len(previous)-1]
		next = next[:len(next)-1]
		counter.countEntry()
	}
	return previous, next
}

// indexByName maps names to indices. Entries without a name are ignored; for a repeated name, the last index
// is kept.
func indexByName[T resource](list []T, counter *pauseCounter) map[string]int {
	byName := make(map[string]int, len(list))
	for index, entry := range list {
		if name := entry.ResourceName(); name != "" {
			byName[name] = index
		}
		counter.countEntry()
	}
	return byName
}
