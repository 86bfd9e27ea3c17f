package settings

import "fmt"

// Changes lists the resources of one kind that differ between two versions.
type Changes[T any] struct {
	Set     []T      // complete settings of new and changed resources
	Removed []string // names of the removed ones
}

func (c *Changes[T]) isEmpty() bool { return len(c.Set) == 0 && len(c.Removed) == 0 }

// Delta is the difference between two consecutive versions of the settings. Resources that it does not name
// are unchanged.
type Delta struct {
	From    uint64  // version to which the delta applies
	To      uint64  // version that results
	Server  *Server // nil: unchanged
	Classes Changes[Class]
	Tenants Changes[Tenant]
}

// IsEmpty reports whether nothing differs.
func (d *Delta) IsEmpty() bool { return d.Server == nil && d.Classes.isEmpty() && d.Tenants.isEmpty() }

// IdempotencyChangedError is the error of a delta that changes the idempotency of a class. That needs a
// restart, as the idempotency keys in the table were recorded under the previous kind.
type IdempotencyChangedError struct {
	Class    string      // name of the class
	Expected Idempotency // kind in force
	Found    Idempotency // kind in the delta
}

func (e *IdempotencyChangedError) Error() string {
	return fmt.Sprintf("settings.classes: found %s as %q, expected %q while running", e.Class, e.Found, e.Expected)
}

// CheckIdempotency returns an *IdempotencyChangedError if next can't replace previous while the server runs.
// A missing kind may be added.
func CheckIdempotency(previous, next Class) error {
	if previous.Idempotency != "" && previous.Idempotency != next.Idempotency {
		return &IdempotencyChangedError{previous.Name, previous.Idempotency, next.Idempotency}
	}
	return nil
}

// entriesPerPause is the number of entries compared between two calls of pause; it takes a few hundred
// microseconds.
const entriesPerPause = 4096

// Compare returns the delta from version from, which is previous, to the next one. It calls pause after every
// entriesPerPause entries, so that the goroutine can yield the processor to latency-sensitive work. Entries
// without a name are left out. The error is the first *IdempotencyChangedError, if any.
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

// resource is an entry of a list, identified by its name.
type resource interface {
	comparable
	ResourceName() string
}

// pauseCounter counts the compared entries and calls pause after each entriesPerPause.
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

// compareLists collects the changes between two lists, and calls onChange for each resource that is in both
// with different settings. The time is linear in the length of the lists; memory is needed only for the
// entries between the equal ones at both ends.
func compareLists[T resource](previous, next []T, pause func(), onChange func(previous, next T)) (changes Changes[T]) {
	counter := &pauseCounter{pause: pause}
	previous, next = trimEqualEnds(previous, next, counter)
	remaining := indexByName(previous, counter) // those of previous that have not been found in next
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
	for _, entry := range previous { // in the list's order, not the map's
		counter.countEntry()
		if _, isRemoved := remaining[entry.ResourceName()]; isRemoved {
			changes.Removed = append(changes.Removed, entry.ResourceName())
		}
	}
	return changes
}

// trimEqualEnds removes equal entries from both ends of two lists.
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

// indexByName maps names to indices. Entries without a name are left out; of equal names the last one counts.
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
