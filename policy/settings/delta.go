package settings

import "fmt"

// Changes lists the resources of one kind that differ between two versions.
type Changes[T any] struct {
	Set     []T      // new ones, and those with other settings, with all their settings
	Removed []string // names
}

func (c *Changes[T]) isEmpty() bool { return len(c.Set) == 0 && len(c.Removed) == 0 }

// Delta is the change from one version of the settings to the next. What it does not name stays as it is.
type Delta struct {
	From, To uint64  // the versions
	Server   *Server // nil: unchanged
	Classes  Changes[Class]
	Tenants  Changes[Tenant]
}

// IsEmpty reports whether nothing differs.
func (d *Delta) IsEmpty() bool { return d.Server == nil && d.Classes.isEmpty() && d.Tenants.isEmpty() }

// IdempotencyChangedError is the error of a class whose idempotency changes while running. It must not: the
// keys known were recorded under the old kind.
type IdempotencyChangedError struct {
	Class    string
	Was, Now Idempotency
}

func (e *IdempotencyChangedError) Error() string {
	return fmt.Sprintf("settings.classes: found %s as %q, expected %q while running", e.Class, e.Now, e.Was)
}

// CheckIdempotency returns an IdempotencyChangedError where the later class can't replace the earlier one.
// A kind that was missing may be added.
func CheckIdempotency(was, now Class) error {
	if was.Idempotency != "" && was.Idempotency != now.Idempotency {
		return &IdempotencyChangedError{was.Name, was.Idempotency, now.Idempotency}
	}
	return nil
}

// pauseInterval is the number of entries compared between two pauses, which takes a few hundred
// microseconds.
const pauseInterval = 4096

// Compare makes the delta from one version, numbered from, to the next. It calls pause after every few
// thousand entries, as it may run beside work that must not wait. Entries without a name are left out. The
// error is the first IdempotencyChangedError, if any.
func Compare(from uint64, was, now Settings, pause func()) (Delta, error) {
	d := Delta{From: from, To: from + 1}
	if was.Server != now.Server {
		server := now.Server
		d.Server = &server
	}
	var err error
	d.Classes = compareLists(was.Classes, now.Classes, pause, func(was, now Class) {
		if changed := CheckIdempotency(was, now); changed != nil && err == nil {
			err = changed
		}
	})
	d.Tenants = compareLists(was.Tenants, now.Tenants, pause, func(_, _ Tenant) {})
	return d, err
}

// resource is an entry of a list, identified by its name.
type resource interface {
	comparable
	ResourceName() string
}

// pacer counts the entries compared, and pauses after each interval.
type pacer struct {
	compared int
	pause    func()
}

func (p *pacer) countEntry() {
	p.compared++
	if p.compared%pauseInterval == 0 {
		p.pause()
	}
}

// compareLists collects the changes between two lists, and calls onChange for each pair of one name that
// differs. It takes time in the length of the lists, and memory only for what lies between equal runs at
// both ends.
func compareLists[T resource](was, now []T, pause func(), onChange func(was, now T)) (changes Changes[T]) {
	pacer := &pacer{pause: pause}
	was, now = trimEqualEnds(was, now, pacer)
	remaining := indexByName(was, pacer) // those of was that have not been found in now
	for _, entry := range now {
		pacer.countEntry()
		name := entry.ResourceName()
		if name == "" {
			continue
		}
		index, existed := remaining[name]
		delete(remaining, name)
		if existed && was[index] == entry {
			continue
		}
		if existed {
			onChange(was[index], entry)
		}
		changes.Set = append(changes.Set, entry)
	}
	for _, entry := range was { // in the list's order, not the map's
		pacer.countEntry()
		if _, isRemoved := remaining[entry.ResourceName()]; isRemoved {
			changes.Removed = append(changes.Removed, entry.ResourceName())
		}
	}
	return changes
}

// trimEqualEnds cuts equal runs off both ends of two lists.
func trimEqualEnds[T resource](was, now []T, pacer *pacer) (wasRest, nowRest []T) {
	for len(was) > 0 && len(now) > 0 && was[0] == now[0] {
		was = was[1:]
		now = now[1:]
		pacer.countEntry()
	}
	for len(was) > 0 && len(now) > 0 && was[len(was)-1] == now[len(now)-1] {
		was = was[:len(was)-1]
		now = now[:len(now)-1]
		pacer.countEntry()
	}
	return was, now
}

// indexByName maps names to indices; entries without a name are left out, of equal names the last one
// stands.
func indexByName[T resource](list []T, pacer *pacer) map[string]int {
	byName := make(map[string]int, len(list))
	for index, entry := range list {
		if name := entry.ResourceName(); name != "" {
			byName[name] = index
		}
		pacer.countEntry()
	}
	return byName
}
