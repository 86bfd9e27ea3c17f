// This file owns the difference between two settings. It must never take longer than their length once.

package settings

import "fmt"

// Changes are the resources of one kind that differ: Set are those that are new or have other figures, whole; Removed are
// names.
type Changes[T any] struct {
	Set     []T
	Removed []string
}

// Delta leads from one version of the settings to the next. What it does not name stays as it is.
type Delta struct {
	From, To uint64
	Server   *Server // nil: as it was
	Classes  Changes[Class]
	Tenants  Changes[Tenant]
}

// Empty tells whether nothing differs.
func (d *Delta) Empty() bool {
	return d.Server == nil && len(d.Classes.Set)+len(d.Classes.Removed)+len(d.Tenants.Set)+len(d.Tenants.Removed) == 0
}

// IdempotencyChangedError is the error of a class that can't be another kind of itself: what is known of its keys was recorded under
// the old one.
type IdempotencyChangedError struct {
	Class    string
	Was, Now Idempotency
}

func (e *IdempotencyChangedError) Error() string {
	return fmt.Sprintf("settings.classes: found %s as %q, expected %q while running", e.Class, e.Now, e.Was)
}

// CheckIdempotency is the error of putting the later class in the place of the earlier; a kind that was missing may come.
func CheckIdempotency(was, now Class) error {
	if was.Idempotency != "" && was.Idempotency != now.Idempotency {
		return &IdempotencyChangedError{was.Name, was.Idempotency, now.Idempotency}
	}
	return nil
}

// pauseEvery is how many entries are compared between two pauses: a few hundred microseconds.
const pauseEvery = 4096

// Compare makes the delta from one version to the next. Between every few thousand entries it calls pause, as it may run
// beside somebody who must not wait. Entries without a name are left out. Errors: KindChanged.
func Compare(from uint64, was, now Settings, pause func()) (Delta, error) {
	d := Delta{From: from, To: from + 1}
	if was.Server != now.Server {
		server := now.Server
		d.Server = &server
	}
	var err error
	d.Classes = changes(was.Classes, now.Classes, pause, func(was, now Class) {
		if fault := CheckIdempotency(was, now); fault != nil && err == nil {
			err = fault
		}
	})
	d.Tenants = changes(was.Tenants, now.Tenants, pause, func(_, _ Tenant) {})
	return d, err
}

type resource interface {
	comparable
	ResourceName() string
}

// changes tells each pair that differs under one name, and collects. Equal runs at both ends are walked in step, so that
// only what lies between needs a table.
func changes[T resource](was, now []T, pause func(), differ func(was, now T)) (c Changes[T]) {
	steps := 0
	step := func() {
		if steps++; steps%pauseEvery == 0 {
			pause()
		}
	}
	for len(was) > 0 && len(now) > 0 && was[0] == now[0] {
		was, now = was[1:], now[1:]
		step()
	}
	for len(was) > 0 && len(now) > 0 && was[len(was)-1] == now[len(now)-1] {
		was, now = was[:len(was)-1], now[:len(now)-1]
		step()
	}
	before := make(map[string]int, len(was))
	for n, r := range was {
		if r.ResourceName() != "" {
			before[r.ResourceName()] = n
		}
		step()
	}
	for _, r := range now {
		step()
		name := r.ResourceName()
		if name == "" {
			continue
		}
		n, stood := before[name]
		delete(before, name)
		if stood && was[n] == r {
			continue
		}
		if stood {
			differ(was[n], r)
		}
		c.Set = append(c.Set, r)
	}
	for _, r := range was { // in the list's order, not the table's
		step()
		if _, left := before[r.ResourceName()]; left {
			c.Removed = append(c.Removed, r.ResourceName())
		}
	}
	return c
}
