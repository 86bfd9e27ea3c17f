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
// All tables are bounded:
//   - requests in flight by a quarter of the memory limit; the controller's Release removes an entry;
//   - idempotency keys and their results by another quarter; the controller's ForgetKey or the expiry removes an entry;
//   - ids of started requests by a 32nd of the memory limit; the oldest are forgotten;
//   - classes and tenants by settings.MaxClasses and settings.MaxTenants;
//   - deep health checks by maxHealthChecks.
package node

import (
	"time"

	"go.uber.org/zap"

	"thymechute/internal/decide/runids"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// requestState is the state of a request in flight, or a free slot. Its index in Instance.requests is its policy.RequestID.
type requestState struct {
	responder      Responder // nil if the caller is gone
	messageID      MessageID
	taskID         TaskID
	class          int
	tenant         int // noTenant if it has none
	body           []byte
	key            string    // of its entry in Instance.keys; empty if it has none
	coalescedOn    *keyEntry // entry whose result it waits for, or nil
	callBody       []byte    // body of the dependency call that the run waits for
	pendingReply   []byte    // reply to that call, to be delivered once the link is up; else nil
	inFlight       bool      // false if the slot is free
	started        bool      // the controller has started its run
	startSent      bool      // the start command was written to a link
	startConfirmed bool      // the runtime has sent a notice about it
	stopped        bool      // the controller has stopped its run
	callInFlight   bool
	answered       bool
	failureCause   Cause // reported if the request fails
}

// Instance is one server: its settings, requests in flight and idempotency keys, and its connections to other programs.
type Instance struct {
	log             *zap.Logger
	serverSettings  settings.Server
	settingsVersion uint64
	seed            uint64
	stopTimeout     time.Duration // from the drain notice to the stop deadline
	maxTableBytes   int           // bounds requests and keys, each on its own

	runtime        Runtime
	dependency     Dependency
	fronts         []Front
	healthReporter HealthReporter
	controller     *policy.Instance // nil until the runtime is first ready

	start              time.Time     // origin of all times of type time.Duration
	now                time.Duration // time of the loop's current tick
	events             []func()      // received since the last tick, in order
	completions        []func()      // ends of coalesced requests; run after the controller's current call
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
	runIDs   *runids.Memory // of the requests that must not run twice

	health         healthState
	advertisedLoad float64 // load value that all answers carry; negative if none
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
		runIDs:          runids.New(int(memoryLimitBytes / runIDMemoryDivisor / (2 * runids.BytesPerID))),
		advertisedLoad:  noAdvertisedLoad,
		health:          healthState{checks: map[string]healthCheck{}},
		gauges:          gaugeState{latest: noGauges},
	}
}

// Connect sets the programs and protocols that the instance uses. It must be called once, before the first Tick.
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
