// Package policy decides, inside one server, which requests run, wait or are rejected.
//
// The host makes one Instance with New and calls a method for each event (Admit, RunEnded, CallRequested,
// CallReturned, CallerGone, Drain, Tick; SetServer, SetClass and the like for later settings), then
// Dispatch once all events that came in together were handed on. An Instance acts through the Host it was
// given. Times are durations since the start.
//
// The package does no I/O, reads no clock and starts no goroutine: the same events lead to the same
// decisions. An Instance is not safe for concurrent use, and its methods must not be called from within
// calls of the Host. Its tables are bounded by the memory of the settings and by the live ids of the host.
// Design: docs/design.md.
package policy

import (
	"time"

	"thymechute/policy/quota"
	"thymechute/policy/settings"
)

// Instance makes the decisions of one server.
type Instance struct {
	host    Host
	random  randomSource
	server  settings.Server
	tenants []quota.TokenBucket

	classes        []class
	usedClasses    int // classes that are not free
	firstUsedClass int

	cores       int
	canStopRuns bool // a run can be taken off the cores

	requests    []request       // by RequestID
	queue       []RequestID     // wait for a start
	running     int             // requests on the cores
	keyExpiries []time.Duration // ends of the key entries

	memory      memoryAccount
	concurrency concurrencyControl
	calls       dependencyCalls
	lag         lagSampler
	isShedding  bool // lag has been over its threshold: a newcomer costs a request its place
	advertised  advertisedLoad
	idleTimeout idleTimeoutControl
	health      healthState
	drain       drainDeadlines
	period      periodCounters
	nextTickAt  time.Duration

	// Moving averages.
	readDelay     float64 // seconds from a request's arrival to its reading
	rejectedShare float64 // of the requests read
	retryShare    float64 // of the requests read, by their mark

	isCongestionLogged bool
}

// New makes the instance of a server that has just started. Classes and tenants are numbered by their
// index; without a class there is one with all settings missing.
func New(host Host, seed uint64, s settings.Settings) *Instance {
	inst := &Instance{host: host, random: newRandomSource(seed), nextTickAt: tickInterval}
	inst.drain = drainDeadlines{acceptUntil: never, stopAt: never}
	inst.calls.quotaFraction = 1
	inst.idleTimeout.fraction = minIdleTimeoutFraction
	inst.lag.nextSampleAt = period
	inst.period.callers = map[int]bool{}
	inst.configureServer(s.Server)
	for index, class := range s.Classes {
		inst.SetClass(index, class)
	}
	if len(inst.classes) == 0 {
		inst.SetClass(0, settings.Class{})
	}
	inst.tenants = make([]quota.TokenBucket, 0, len(s.Tenants))
	for index, tenant := range s.Tenants {
		inst.SetTenant(index, tenant)
	}
	inst.concurrency.limit = float64(inst.cores)
	host.SetHealth(Health{Healthy: true, Cached: true})
	host.Wake(inst.nextTickAt)
	return inst
}
