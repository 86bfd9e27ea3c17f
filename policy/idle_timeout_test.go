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
	inst.idleTimeout.gaugeSamples = 25
	inst.idleTimeout.connectionLoadSum = 0
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 3s")
	inst.idleTimeout.gaugeSamples, inst.idleTimeout.connectionLoadSum = 25, 25*2 // twice the target on two cores
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 3.3s")
	inst.idleTimeout.gaugeSamples, inst.idleTimeout.connectionLoadSum = 25, 25/2 // half the target
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 3.1s")
	// Callers send their next request before their own idle timeout.
	inst.idleTimeout.gaugeSamples = 25
	inst.idleTimeout.requestsPerPeriod = 100
	inst.updateIdleTimeout()
	host.expectCalls(t, 1, "idle timeout 30s")
}
