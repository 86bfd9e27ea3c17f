// Package policy is the overload controller of one server: it decides which requests run, wait or are
// rejected.
//
// The host creates one Instance with New and calls a method for each event (Admit, RunEnded, CallRequested,
// CallReturned, CallerGone, Drain, Tick; SetServer, SetClass, FreeClass, SetTenant and FreeTenant for changed
// settings). After all events that it received at the same time, it calls Dispatch. The Instance carries out
// its decisions through the Host interface. Times are durations since the server's start.
//
// The package does no I/O, reads no clock and starts no goroutine: the same events lead to the same
// decisions. An Instance is not safe for concurrent use, and the methods of the Host must not call it. The
// size of its tables is bounded by the memory limit of the settings and by the ids that the host has in use.
// Design: docs/design.md.
package policy

import (
	"time"

	"thymechute/policy/quota"
	"thymechute/policy/settings"
)

// Instance is the overload controller of one server.
type Instance struct {
	host    Host
	random  randomSource
	server  settings.Server
	tenants []quota.TokenBucket

	classes        []class
	usedClasses    int // classes that are not free
	firstUsedClass int // lowest index in use; if none is, the index freed last

	cores       int
	canStopRuns bool // the runtime can stop runs

	requests    []request       // by RequestID
	queue       []RequestID     // requests that wait for their start
	running     int             // requests on the cores
	keyExpiries []time.Duration // expiry times of the key entries

	memory      memoryUsage
	concurrency concurrencyControl
	calls       dependencyCalls
	lag         lagSampler
	isShedding  bool // load shedding is on: with a backlog, each new request causes a rejection
	advertised  advertisedLoad
	idleTimeout idleTimeoutControl
	health      healthState
	drain       drainDeadlines
	period      periodCounters
	nextTickAt  time.Duration

	// Moving averages.
	readDelay     float64 // seconds from the arrival of a request until it is read
	rejectedShare float64 // share of rejected requests, 0 to 1
	retryShare    float64 // share of requests marked as retries by their callers, 0 to 1

	lastLoggedCongested bool // read congestion state in the last log line
}

// New returns the Instance of a server that has just started. The seed determines its random decisions.
// Classes and tenants are identified by their index in the settings. If the settings have no classes, there
// is one class with default settings.
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
