package policy

import (
	"math"

	"thymechute/policy/quota"
	"thymechute/policy/settings"
)

const (
	// maxCores is the maximum number of cores; a larger setting is reduced to it.
	maxCores = 4096
	// defaultMemoryKB is the memory capacity if the settings give none.
	defaultMemoryKB = 1e6
)

// SetServer applies changed server settings. Existing deadlines and key entries are retained; the used memory
// is recalculated.
func (inst *Instance) SetServer(s settings.Server) {
	inst.configureServer(s)
	inst.recalculateUsedMemory()
	// The advertise mode and the callers' idle timeout may have changed, so both values are sent again.
	inst.advertised.lastLoad = math.Inf(1)
	inst.idleTimeout.current = 0
}

func (inst *Instance) configureServer(s settings.Server) {
	inst.server = s
	inst.canStopRuns = s.StopMode == settings.StopAbort || s.StopMode == settings.StopSuspend
	inst.cores = int(min(max(s.Cores.Or(1), 1), maxCores))
	inst.memory.capacityKB = max(s.MemoryKB.Or(defaultMemoryKB), 1)
	inst.calls.quota = callQuotaOf(s, inst.cores)
}

// SetClass applies the settings of the class with this index. The index must be in use, free, or equal to
// the number of classes, which adds a class. The estimates of a class in use are retained.
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
	class.runEstimates = initialEstimates(class.latencyObjective)
	inst.usedClasses++
	if inst.usedClasses == 1 || index < inst.firstUsedClass {
		inst.firstUsedClass = index
	}
}

// FreeClass frees the index of a class. No request of the class may be left.
func (inst *Instance) FreeClass(index int) {
	inst.classes[index].isFree = true
	inst.usedClasses--
	for inst.usedClasses > 0 && inst.classes[inst.firstUsedClass].isFree {
		inst.firstUsedClass++
	}
}

// referenceClass returns the class whose latency objective and run time represent the whole server: the class
// in use with the lowest index.
func (inst *Instance) referenceClass() *class { return &inst.classes[inst.firstUsedClass] }

// SetTenant sets the quota of the tenant with this index. The index must be in use, free, or equal to the
// number of tenants, which adds a tenant. The tokens of a tenant in use are retained.
func (inst *Instance) SetTenant(index int, s settings.Tenant) {
	if index == len(inst.tenants) {
		inst.tenants = append(inst.tenants, quota.NewTokenBucket())
	}
	inst.tenants[index].FleetRate = s.Quota.Or(0)
}

// FreeTenant frees the index of a tenant. No request of the tenant may be left.
func (inst *Instance) FreeTenant(index int) { inst.tenants[index] = quota.NewTokenBucket() }
