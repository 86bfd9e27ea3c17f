package node

import (
	"time"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// SettingsVersion returns the version of the settings in force.
func (n *Instance) SettingsVersion() uint64 { return n.settingsVersion }

// Idempotency returns the idempotency of the class in force with this name. It is empty if there is no such class, or if its
// settings give none.
func (n *Instance) Idempotency(class string) settings.Idempotency {
	index, ok := n.classes.findActive(class)
	if !ok {
		return ""
	}
	return n.idempotencyOf(index)
}

// Apply puts a delta into force. Resources that it does not name retain their index and the controller's estimates. Requests of
// a removed class or tenant are no longer admitted, and its index is freed with its last request and key. An idempotency key
// expires after the longest window that was in force during its lifetime. The cost is linear in the size of the delta, not of
// the settings; a longer key window adds a pass over the key table.
//
// The error is a *VersionError, a *BoundError or a *settings.IdempotencyChangedError. It leaves the settings unchanged.
func (n *Instance) Apply(delta settings.Delta) error {
	if err := n.validate(&delta); err != nil {
		return err
	}
	n.settingsVersion = delta.To
	if delta.Server != nil {
		n.applyServer(*delta.Server)
	}
	n.applyClasses(delta.Classes)
	n.applyTenants(delta.Tenants)
	return nil
}

// validate returns the error that Apply returns for the delta.
func (n *Instance) validate(delta *settings.Delta) error {
	if delta.From != n.settingsVersion {
		return &VersionError{From: delta.From, InForce: n.settingsVersion}
	}
	if found := len(n.classes.active) + n.classes.growth(delta.Classes); found > settings.MaxClasses {
		return &BoundError{Kind: "classes", Found: found, Bound: settings.MaxClasses}
	}
	if found := len(n.tenants.active) + n.tenants.growth(delta.Tenants); found > settings.MaxTenants {
		return &BoundError{Kind: "tenants", Found: found, Bound: settings.MaxTenants}
	}
	for _, class := range delta.Classes.Set {
		current := n.classes.findAny(class.Name) // also a removed class that still has requests or keys
		if current == nil {
			continue
		}
		if err := settings.CheckIdempotency(*current, class); err != nil {
			return err
		}
	}
	return nil
}

func (n *Instance) applyServer(server settings.Server) {
	n.serverSettings = server
	n.advertisedLoad = noAdvertisedLoad // the kind of load value may have changed; the controller advertises a new one
	if n.controller != nil {
		n.controller.SetServer(server)
	}
}

func (n *Instance) applyClasses(changes settings.Changes[settings.Class]) {
	for _, name := range changes.Removed {
		if index, freed := n.classes.remove(name); freed && n.controller != nil {
			n.controller.FreeClass(index)
		}
	}
	windowExtended := false
	for _, class := range changes.Set {
		current := n.classes.findAny(class.Name)
		if current != nil && class.KeyWindow.Seconds(0) > current.KeyWindow.Seconds(0) {
			windowExtended = true
		}
		class = withoutDegradedAnswers(class)
		index := n.classes.set(class)
		if n.controller != nil {
			n.controller.SetClass(index, class)
		}
	}
	if windowExtended {
		n.extendKeys()
	}
}

func (n *Instance) applyTenants(changes settings.Changes[settings.Tenant]) {
	for _, name := range changes.Removed {
		if index, freed := n.tenants.remove(name); freed && n.controller != nil {
			n.controller.FreeTenant(index)
		}
	}
	for _, tenant := range changes.Set {
		index := n.tenants.set(tenant)
		if n.controller != nil {
			n.controller.SetTenant(index, tenant)
		}
	}
}

// withoutDegradedAnswers removes the degraded weight, so that the controller never skips a call: the runtime's protocol has no
// command to continue a run without the reply.
func withoutDegradedAnswers(class settings.Class) settings.Class {
	class.DegradedWeight = settings.Number{}
	return class
}

// newController returns a controller for the settings in force.
func (n *Instance) newController() *policy.Instance {
	controller := policy.New(n, n.seed, settings.Settings{
		Server:  n.serverSettings,
		Classes: n.classes.values(),
		Tenants: n.tenants.values(),
	})
	for _, index := range n.classes.freeRows {
		controller.FreeClass(int(index))
	}
	for _, index := range n.tenants.freeRows {
		controller.FreeTenant(int(index))
	}
	return controller
}

// addReferences counts a request or key that refers to the class and, unless it is noTenant, the tenant.
func (n *Instance) addReferences(class, tenant int) {
	n.classes.addReference(class)
	if tenant != noTenant {
		n.tenants.addReference(tenant)
	}
}

// dropReferences undoes addReferences. The last reference to a removed class or tenant frees its index.
func (n *Instance) dropReferences(class, tenant int) {
	if n.classes.dropReference(class) && n.controller != nil {
		n.controller.FreeClass(class)
	}
	if tenant != noTenant && n.tenants.dropReference(tenant) && n.controller != nil {
		n.controller.FreeTenant(tenant)
	}
}

func (n *Instance) idempotencyOf(class int) settings.Idempotency {
	return n.classes.at(class).Idempotency
}

// keyWindowOf returns how long an idempotency key of the class is valid.
func (n *Instance) keyWindowOf(class int) time.Duration {
	return n.classes.at(class).KeyWindow.Seconds(0)
}
