package policy

import (
	"testing"

	"thymechute/policy/settings"
)

func TestIdleTimeoutFollowsTheConnectionLoad(t *testing.T) {
	inst, host := newTestInstance(func(s *settings.Settings) {
		s.Server.CallerIdleTimeout = settings.NumberOf(30)
		s.Server.CallerCount = settings.NumberOf(1000)
	})
	inst.updateIdleTimeout() // no gauge, no change
	host.expectCalls(t, 0, "idle timeout")
	inst.idleTimeout.samples, inst.idleTimeout.connectionLoad = 25, 0
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 3s")
	inst.idleTimeout.samples, inst.idleTimeout.connectionLoad = 25, 25*2 // on two cores twice what is aimed at
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 3.3s")
	inst.idleTimeout.samples, inst.idleTimeout.connectionLoad = 25, 25/2 // half of it
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 3.1s")
	// Callers come again before their connections would close.
	inst.idleTimeout.samples, inst.idleTimeout.readsPerPeriod = 25, 100
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 30s")
}
