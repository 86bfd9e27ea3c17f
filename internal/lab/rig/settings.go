package rig

import (
	"time"

	"thymechute/internal/lab/deployment"
)

// The classes of the rig's settings.
const (
	SafeClass          = "trace"     // safe
	IdempotentClass    = "excursion" // idempotent with a key
	NonIdempotentClass = "seal"      // not idempotent
)

// Times of all three classes.
const (
	CallerTimeout     = 30 * time.Second
	IdempotencyWindow = 120 * time.Second
)

// MemoryMB is the memory limit of an instance. A quarter of it holds the keys of half the messages of an experiment within
// the idempotency window.
const MemoryMB = 96

const resultBytes = 64 // of a run's result

// ImmediateRun is the work of a fake runtime that takes no time.
func ImmediateRun(string, []byte) (time.Duration, []byte) { return 0, make([]byte, resultBytes) }

// ShortRun is the work of a fake runtime that takes a millisecond, so that faults interrupt some of it.
func ShortRun(string, []byte) (time.Duration, []byte) {
	return time.Millisecond, make([]byte, resultBytes)
}

// newSettings returns the settings of a small deployment with many cores, so that the program itself is the bottleneck.
func newSettings() deployment.Settings {
	const fleetSize, callerCount, callerIdleSeconds, tenantQuota = 2, 3, 30, 1e6
	s := deployment.NewSettings(fleetSize)
	s.Domain.CallerCount = callerCount
	s.Domain.CallerIdleTimeout = callerIdleSeconds
	s.Tenants = []deployment.Tenant{{Name: "acme", Quota: tenantQuota}}
	for n, class := range []struct{ name, idempotency string }{
		{SafeClass, deployment.Safe},
		{IdempotentClass, deployment.Idempotent},
		{NonIdempotentClass, deployment.NonIdempotent},
	} {
		s.AddClass(deployment.Class{
			Name:             class.name,
			Idempotency:      class.idempotency,
			PriorityWeight:   float64(n + 1),
			LatencyObjective: CallerTimeout.Seconds(),
			Deadline:         CallerTimeout.Seconds(),
			KeyWindow:        IdempotencyWindow.Seconds(),
		})
	}
	return s
}
