package policy

import (
	"math"

	"thymechute/policy/quota"
	"thymechute/policy/settings"
)

const (
	// maxCores bounds what the settings may say.
	maxCores = 4096
	// defaultMemoryKB is the memory where the settings say nothing.
	defaultMemoryKB = 1e6
)

// SetServer puts later settings in force. Deadlines and key entries stay as they were; memory is counted
// anew.
func (inst *Instance) SetServer(s settings.Server) {
	inst.configureServer(s)
	inst.recountMemory()
	// Advertised and set again, in the form that now holds.
	inst.advertised.last = math.Inf(1)
	inst.idleTimeout.current = 0
}

func (inst *Instance) configureServer(s settings.Server) {
	inst.server = s
	inst.canStopRuns = s.StopMode == settings.StopAbort || s.StopMode == settings.StopSuspend
	inst.cores = int(min(max(s.Cores.Or(1), 1), maxCores))
	inst.memory.capacityKB = max(s.MemoryKB.Or(defaultMemoryKB), 1)
	inst.calls.quota = callQuotaOf(s, inst.cores)
}

// SetClass puts the settings of the class of an index in force; the index is in use, free or the next. What
// was learned of a class in use stays.
func (inst *Instance) SetClass(index int, s settings.Class) {
	if index == len(inst.classes) {
		inst.classes = append(inst.classes, class{isFree: true})
	}
	class := &inst.classes[index]
	class.configure(s)
	if !class.isFree {
		return
	}
	class.isFree = false
	class.runLatencies = initialLatencies(class.latencyObjective)
	inst.usedClasses++
	if inst.usedClasses == 1 || index < inst.firstUsedClass {
		inst.firstUsedClass = index
	}
}

// FreeClass frees an index of which no request is left.
func (inst *Instance) FreeClass(index int) {
	inst.classes[index].isFree = true
	inst.usedClasses--
	for inst.usedClasses > 0 && inst.classes[inst.firstUsedClass].isFree {
		inst.firstUsedClass++
	}
}

// referenceClass is the class by which the server as a whole is measured: the first one in use.
func (inst *Instance) referenceClass() *class { return &inst.classes[inst.firstUsedClass] }

// SetTenant gives the tenant of an index its quota; the index is in use, free or the next. The tokens stay
// as they are.
func (inst *Instance) SetTenant(index int, s settings.Tenant) {
	if index == len(inst.tenants) {
		inst.tenants = append(inst.tenants, quota.NewTokenBucket())
	}
	inst.tenants[index].FleetRate = s.Quota.Or(0)
}

// FreeTenant frees an index of which no request is left.
func (inst *Instance) FreeTenant(index int) { inst.tenants[index] = quota.NewTokenBucket() }
