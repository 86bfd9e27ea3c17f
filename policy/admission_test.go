package policy

import (
	"testing"

	"thymechute/policy/settings"
)

func TestLoadSheddingRejectsOnlyWhileRequestsWait(t *testing.T) {
	inst, host := newTestInstance(nil)
	fillCores(inst, 0, 0)
	inst.isShedding = true
	inst.Admit(0, 5, requestOf(0))
	host.expectCalls(t, 0, "reject 5")
	inst.Admit(0, 6, requestOf(0))
	host.expectCalls(t, 1, "reject 6")
}

func TestLoadSheddingRejectsQueuedRequestOfLessValue(t *testing.T) {
	inst, host := newTestInstance(nil)
	fillCores(inst, 0, 1)
	inst.isShedding = true
	inst.Admit(0, 5, requestOf(2))
	host.expectCalls(t, 1, "reject 2")
	host.expectCalls(t, 0, "reject 5")
}

func TestMemoryBoundsStartsAndQueue(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Server.MemoryKB = settings.NumberOf(100)
		s.Server.Cores = settings.NumberOf(8)
	})
	for id := range RequestID(9) {
		inst.Admit(0, id, requestOf(0))
	}
	inst.Dispatch(0)
	if inst.memory.usedKB > 95 {
		t.Errorf("%.0f of 100 kB in use", inst.memory.usedKB)
	}
	host.expectCalls(t, 1, "start 0")
}

func TestMemoryShortageRejectsQueuedRequestOfLessValue(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) { s.Server.MemoryKB = settings.NumberOf(140) })
	fillCores(inst, 0, 4)
	host.expectCalls(t, 0, "reject")
	inst.Admit(0, 9, requestOf(2))
	host.expectCalls(t, 1, "reject 2")
	host.expectCalls(t, 0, "reject 9")
}
