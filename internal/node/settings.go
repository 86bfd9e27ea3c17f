// This file owns the settings in force: a delta comes in whole or not at all, in time that follows its own length. It must
// never walk the tenants or the classes that a delta does not name.

package node

import (
	"fmt"
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// VersionError is a delta that does not start from what is in force.
type VersionError struct{ From, InForce uint64 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("settings: found a change of version %d, expected one of %d, which is in force", e.From, e.InForce)
}

// BoundError is a delta after which there would be too many of one kind.
type BoundError struct {
	Kind         string
	Found, Bound int
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("settings.%s: found %d, expected at most %d", e.Kind, e.Found, e.Bound)
}

// firstVersion is that of the settings with which the instance starts.
const firstVersion = 1

// Version is of the settings in force.
func (n *Instance) Version() uint64 { return n.version }

// Apply puts a delta in force, on the loop. What it does not name goes on with its index, its figures and all that was
// learned of it; what it removes is refused to new requests, and goes once nothing of it is in hand. A key is kept for
// the longer of its two windows. Errors, of which nothing is taken: VersionError, BoundError, settings.KindChanged.
func (n *Instance) Apply(d settings.Delta) error {
	if err := n.refuse(&d); err != nil {
		return err
	}
	n.version = d.To
	if d.Server != nil {
		n.server = *d.Server
		n.free = -1 // the value in its earlier form must not go on: the module says it anew
		if n.mod != nil {
			n.mod.SetServer(n.server)
		}
	}
	n.applyClasses(d.Classes)
	n.applyTenants(d.Tenants)
	return nil
}

func (n *Instance) refuse(d *settings.Delta) error {
	if d.From != n.version {
		return &VersionError{d.From, n.version}
	}
	if found := len(n.classes.inForce) + n.classes.grows(d.Classes); found > settings.MaxClasses {
		return &BoundError{"classes", found, settings.MaxClasses}
	}
	if found := len(n.tenants.inForce) + n.tenants.grows(d.Tenants); found > settings.MaxTenants {
		return &BoundError{"tenants", found, settings.MaxTenants}
	}
	for _, now := range d.Classes.Set { // also one that was removed, while something of it is in hand
		if was := n.classes.known(now.Name); was != nil {
			if err := settings.CheckIdempotency(*was, now); err != nil {
				return err
			}
		}
	}
	return nil
}

func (n *Instance) applyClasses(c settings.Changes[settings.Class]) {
	for _, name := range c.Removed {
		if index, freed := n.classes.remove(name); freed && n.mod != nil {
			n.mod.FreeClass(index)
		}
	}
	longer := false
	for _, class := range c.Set {
		was := n.classes.known(class.Name)
		longer = longer || was != nil && class.KeyWindow.Seconds(0) > was.KeyWindow.Seconds(0)
		class = withRuntime(class)
		index := n.classes.set(class)
		if n.mod != nil {
			n.mod.SetClass(index, class)
		}
	}
	if !longer {
		return
	}
	for _, r := range n.keys { // of work in hand, not of the settings
		if window := n.window(r.class); window > r.window { // once only, however often it goes there and back
			r.end, r.window = r.end+window-r.window, window
		}
	}
}

func (n *Instance) applyTenants(c settings.Changes[settings.Tenant]) {
	for _, name := range c.Removed {
		if index, freed := n.tenants.remove(name); freed && n.mod != nil {
			n.mod.FreeTenant(index)
		}
	}
	for _, tenant := range c.Set {
		index := n.tenants.set(tenant)
		if n.mod != nil {
			n.mod.SetTenant(index, tenant)
		}
	}
}

// withRuntime is a class as the module may take it beside the runtime. The runtime's protocol has no command by which a run
// goes on without the call that it stands at, so no answer is made without one, whatever the settings would pay for it.
func withRuntime(class settings.Class) settings.Class {
	class.DegradedWeight = settings.Number{}
	return class
}

// newModule makes the decision module by the settings in force.
func (n *Instance) newModule() *policy.Instance {
	mod := policy.New(n, n.seed, settings.Settings{Server: n.server, Classes: n.classes.values(), Tenants: n.tenants.values()})
	for _, index := range n.classes.free {
		mod.FreeClass(int(index))
	}
	for _, index := range n.tenants.free {
		mod.FreeTenant(int(index))
	}
	return mod
}

// hold notes that something of a class and, unless it is negative, of a tenant is in hand.
func (n *Instance) hold(class, tenant int) {
	n.classes.use(class)
	if tenant >= 0 {
		n.tenants.use(tenant)
	}
}

// letGo notes the end of what hold did, and frees what was removed meanwhile.
func (n *Instance) letGo(class, tenant int) {
	if n.classes.done(class) && n.mod != nil {
		n.mod.FreeClass(class)
	}
	if tenant >= 0 && n.tenants.done(tenant) && n.mod != nil {
		n.mod.FreeTenant(tenant)
	}
}

// kind of a class by its index.
func (n *Instance) kind(class int) settings.Idempotency { return n.classes.at(class).Idempotency }

// window for which a key of a class is known.
func (n *Instance) window(class int) time.Duration { return n.classes.at(class).KeyWindow.Seconds(0) }

// readings is a row of gauges as the module takes it.
func (n *Instance) readings(row []float64) policy.Gauges {
	busy, runnable := n.server.Gauges(row)
	return policy.Gauges{Busy: busy, Runnable: runnable}
}

// noReadings are gauges of which nothing is offered.
var noReadings = policy.Gauges{Busy: -1, Runnable: -1}
