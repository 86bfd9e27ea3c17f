// Package policy is the overload controller of one server: it decides which requests run, wait or are
// rejected.
//
// The host creates one Instance with New and calls a method for each event (Admit, RunEnded, CallRequested,
// CallReturned, CallerGone, Drain, Tick; SetServer, SetClass and the like for changed settings). After all
// events that it received together it calls Dispatch. An Instance carries out its decisions through the Host.
// Times are durations since the server's start.
//
// The package does no I/O, reads no clock and starts no goroutine: the same events lead to the same
// decisions. An Instance is not safe for concurrent use, and the Host's methods must not call it. Its tables
// are bounded by the memory of the settings and by the ids that the host has in use.
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
	canStopRuns bool // runs can be stopped

	requests    []request       // by RequestID
	queue       []RequestID     // requests that wait for their start
	running     int             // requests on the cores
	keyExpiries []time.Duration // ends of the key entries

	memory      memoryUsage
	concurrency concurrencyControl
	calls       dependencyCalls
	lag         lagSampler
	isShedding  bool // lag has been over its threshold: each new request makes one be rejected
	advertised  advertisedLoad
	idleTimeout idleTimeoutControl
	health      healthState
	drain       drainDeadlines
	period      periodCounters
	nextTickAt  time.Duration

	// Moving averages.
	readDelay     float64 // seconds from a request's arrival to its reading
	rejectedShare float64 // of the requests read
	retryShare    float64 // of the requests read, as marked by the callers

	lastLoggedCongested bool
}

// New returns the instance of a server that has just started. The seed determines its random decisions.
// Classes and tenants are identified by their index in the settings; without any class there is one with all
// settings missing.
func New(host Host, seed uint64, s settings.Settings) *Instance {
	inst := &Instance{host: host, random: newRandomSource(seed), nextTickAt: tickInterval}
	inst.drain = drainDeadlines{acceptUntil: never, stopAt: never}
	inst.calls.quotaScale = 1
	inst.idleTimeout.fraction = minIdleTimeoutFraction
	inst.lag.nextSampleAt = periodLength
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
	host.SetHealth(Health{Healthy: true, SkipSelfTest: true})
	host.Wake(inst.nextTickAt)
	return inst
}
