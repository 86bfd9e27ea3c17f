// Package node connects the overload controller (package policy) of one server to the runtime that executes requests,
// to the dependency that the requests call, to the callers' protocols and to the service catalog.
//
// An Instance admits requests (Admit), passes events to the controller and carries out the controller's decisions as its
// policy.Host. The controller alone decides which requests run, wait or are rejected, except that the instance rejects
// requests while a table is full or no controller exists yet.
//
// Concurrency: an Instance belongs to the event loop. All methods must be called on the loop's goroutine, and none blocks.
// Events are queued, and Tick passes them to the controller in order.
//
// Tables and bounds: requests in flight (a quarter of the memory limit; an entry ends with the controller's Release),
// idempotency keys with their results (a quarter; an entry ends with the controller's ForgetKey or expires), classes and
// tenants (the bounds of package settings), deep health checks (maxHealthChecks).
package node

import (
	"time"

	"go.uber.org/zap"

	"thymechute/policy"
	"thymechute/policy/settings"
)

// requestState is a request in flight. Its index in Instance.requests is its policy.RequestID.
type requestState struct {
	responder      Responder // nil: the caller is gone
	messageID      MessageID
	taskID         TaskID
	class          int
	tenant         int // noTenant: none
	body           []byte
	key            string    // of its entry in the key table; empty: none
	coalescedOn    *keyEntry // entry whose result it waits for; nil: none
	callBody       []byte    // body of the call that the run waits for
	pendingReply   []byte    // reply to that call, not delivered yet as the link is down; nil: none
	inFlight       bool      // false: the slot is free
	started        bool      // by the controller
	startSent      bool      // the start command was written to a link
	startConfirmed bool      // the runtime has sent a notice about it
	stopped        bool      // by the controller
	callInFlight   bool
	answered       bool
	failureCause   Cause // why it fails, if it does
}

// Instance is one server.
type Instance struct {
	log             *zap.Logger
	serverSettings  settings.Server
	settingsVersion uint64
	seed            uint64
	stopTimeout     time.Duration // from the drain notice to the stop deadline
	maxTableBytes   int           // bound of requests, and of keys, in bytes

	runtime        Runtime
	dependency     Dependency
	fronts         []Front
	healthReporter HealthReporter
	controller     *policy.Instance // nil until the runtime was ready once

	start              time.Time     // from which all times of type time.Duration count
	now                time.Duration // time of the current tick of the loop
	events             []func()      // received since the last tick, in order
	completions        []func()      // ends of coalesced requests, for after the controller's current call
	nextControllerTick time.Duration
	nextSweep          time.Duration
	lastEventAt        time.Duration // when a tick last had events
	lastArrivalAt      time.Duration // when a request last arrived, or the drain notice

	classes  *resourceTable[settings.Class]
	tenants  *resourceTable[settings.Tenant]
	requests []requestState
	freeIDs  []policy.RequestID // free slots of requests
	inFlight int
	byTaskID map[TaskID]policy.RequestID
	keys     keyTable

	health         healthState
	advertisedLoad float64 // the load value advertised to callers; negative: none
	gauges         gaugeState
	runtimeProcess runtimeProcess
	drain          drainState
}

// New returns an instance that waits for its runtime. stopTimeout is the time from the drain notice to the kill of the
// process. memoryLimitBytes bounds the tables.
func New(s settings.Settings, seed uint64, stopTimeout time.Duration, memoryLimitBytes int64, log *zap.Logger) *Instance {
	classes := make([]settings.Class, 0, len(s.Classes))
	for _, class := range s.Classes {
		classes = append(classes, withoutDegradedAnswers(class))
	}
	return &Instance{
		log:             log,
		serverSettings:  s.Server,
		settingsVersion: firstSettingsVersion,
		seed:            seed,
		stopTimeout:     stopTimeout,
		maxTableBytes:   int(memoryLimitBytes / tableMemoryDivisor),
		start:           time.Now(),
		classes:         newResourceTable(classes),
		tenants:         newResourceTable(s.Tenants),
		byTaskID:        map[TaskID]policy.RequestID{},
		keys:            newKeyTable(),
		advertisedLoad:  noAdvertisedLoad,
		health:          healthState{checks: map[string]healthCheck{}},
		gauges:          gaugeState{latest: noGauges},
	}
}

// Connect sets the services that the instance uses. It must be called once, before the first Tick.
func (n *Instance) Connect(runtime Runtime, dependency Dependency, reporter HealthReporter, fronts ...Front) {
	n.runtime = runtime
	n.dependency = dependency
	n.healthReporter = reporter
	n.fronts = fronts
}

// Load returns the used part of the instance's capacity.
func (n *Instance) Load() Load {
	return Load{
		Ready:    n.controller != nil && n.runtime.Up(),
		Requests: n.inFlight,
		Capacity: n.maxTableBytes / requestBytes,
	}
}
