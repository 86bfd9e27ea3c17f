package node

import "time"

// Bounds of the tables.
const (
	tableMemoryDivisor  = 4       // memory limit divided by this bounds the table of requests, and that of keys
	waiterMemoryDivisor = 4       // requests that wait for a result may exceed the table of requests by its size divided by this
	maxWaitersPerKey    = 64      // requests that wait for the result of one run
	runIDMemoryDivisor  = 32      // memory limit divided by this bounds the ids of started requests
	requestBytes        = 8 << 10 // bytes counted for a request in flight, with its body and that of its call
	keyEntryBytes       = 512     // bytes counted for an idempotency key, without its result
	maxHealthChecks     = 64      // deep health checks in progress at a time
)

// Time limits and intervals.
const (
	tableFullRetryAfter           = 500 * time.Millisecond // Retry-After while a table is full
	maxReadDelay                  = time.Hour              // longer read delays are reported to the controller as this
	selfTestTimeout               = 5 * time.Second        // a self-test that takes longer has failed
	runtimeSilenceTimeout         = selfTestTimeout        // without a response for this long, the runtime counts as unable to serve
	maxGaugeAge                   = 200 * time.Millisecond // older gauges are not passed to the controller
	runtimeAgeTolerance           = 100 * time.Millisecond // the runtime rounds its age to milliseconds
	defaultControllerTickInterval = 20 * time.Millisecond  // between controller ticks if the controller requests no time
	expiredKeyRetention           = 2 * time.Second        // an expired key remains this long, for requests that are read late
	sweepInterval                 = 500 * time.Millisecond // between two sweeps of keys and health checks
	stallThreshold                = 60 * time.Millisecond  // the machine counts as stalled after this long without any event
	maxControllerTickDelay        = 105 * time.Millisecond // a controller tick is deferred by at most this while the machine is stalled
	quietInterval                 = 200 * time.Millisecond // the listener of a draining instance may close after this long without arrivals
	listenerCloseMargin           = 300 * time.Millisecond // the listener closes this long before the stop deadline
	listenerCloseLinger           = 100 * time.Millisecond // connections stay open this long after the listener, for requests in transit
	lastAnswerMargin              = 60 * time.Millisecond  // all requests are answered this long before the stop deadline
	exitMargin                    = 25 * time.Millisecond  // the loop stops this long before the stop deadline at the latest
)

const (
	noAdvertisedLoad     = -1.0 // no load value is advertised
	noTenant             = -1   // tenant index of a request without a tenant
	firstSettingsVersion = 1    // version of the settings that the instance starts with
)
