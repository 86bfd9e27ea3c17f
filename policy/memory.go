package policy

// maxMemoryUtilization is the maximum fraction of the memory that is used.
const maxMemoryUtilization = 0.95

// memoryUsage accounts for the memory of requests and key entries, by their declared sizes.
type memoryUsage struct {
	usedKB           float64
	capacityKB       float64
	averageRequestKB float64 // moving average of the size of the requests read
}

// fits reports whether another kb kilobytes fit into the usable memory.
func (m *memoryUsage) fits(kb float64) bool { return m.usedKB+kb <= maxMemoryUtilization*m.capacityKB }

// runMemoryKB returns the memory in kB that a request needs while running, in addition to its memory while
// queued.
func (inst *Instance) runMemoryKB(requestKB float64) float64 {
	return requestKB * (inst.server.RunMemoryFactor.Or(1) - 1)
}

// recalculateUsedMemory recalculates the used memory after a change of KeyEntryKB or RunMemoryFactor.
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
