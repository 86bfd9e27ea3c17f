package policy

// maxMemoryUtilization is the part of the memory that is used at most.
const maxMemoryUtilization = 0.95

// memoryUsage is the memory in use by requests and key entries, by their declared sizes.
type memoryUsage struct {
	usedKB           float64
	capacityKB       float64
	averageRequestKB float64 // moving average over the requests read
}

// fits reports whether kb more kilobytes stay within the usable memory.
func (m *memoryUsage) fits(kb float64) bool { return m.usedKB+kb <= maxMemoryUtilization*m.capacityKB }

// runMemoryKB returns the memory in kB that a running request takes beyond that of the queued request.
func (inst *Instance) runMemoryKB(requestKB float64) float64 {
	return requestKB * (inst.server.RunMemoryFactor.Or(1) - 1)
}

// recalculateUsedMemory recalculates the used memory after a change of the settings that it depends on.
func (inst *Instance) recalculateUsedMemory() {
	inst.memory.usedKB = float64(len(inst.keyExpiries)) * inst.server.KeyEntryKB.Or(0)
	for id := range inst.requests {
		req := &inst.requests[id]
		if req.state == untracked {
			continue
		}
		inst.memory.usedKB += req.MemoryKB
		if req.state != queued && req.state != coalesced {
			inst.memory.usedKB += inst.runMemoryKB(req.MemoryKB)
		}
	}
}
