package rig

import (
	"time"

	"thymechute/internal/lab/deployment"
)

// The classes of messages and requests in the instances' settings.
const (
	SafeClass          = "trace"
	IdempotentClass    = "excursion" // with an idempotency key
	NonIdempotentClass = "seal"
)

// CallerTimeout is the latency objective and the deadline of all classes, IdempotencyWindow their key window.
const (
	CallerTimeout     = 30 * time.Second
	IdempotencyWindow = 120 * time.Second
)

// MemoryMB is the memory limit of an instance. A quarter of it is enough for the key entries of half of an experiment's messages within
// IdempotencyWindow.
const MemoryMB = 96

const resultBytes = 64 // size of the result of a run

// ImmediateRun is work for a fake runtime that takes no time.
func ImmediateRun(string, []byte) (time.Duration, []byte) { return 0, make([]byte, resultBytes) }

// ShortRun is work for a fake runtime that takes 1 ms, so that faults interrupt some of it.
func ShortRun(string, []byte) (time.Duration, []byte) {
	return time.Millisecond, make([]byte, resultBytes)
}

// newSettings returns the settings of a fleet of two on servers with many cores, so that the program itself is the bottleneck.
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
