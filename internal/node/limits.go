package node

import "time"

// Bounds of the tables, in bytes and entries.
const (
	tableMemoryDivisor = 4       // part of the memory limit for the requests, and the same for the keys
	requestBytes       = 8 << 10 // bytes reserved for a request in flight, with its body and its call's
	keyEntryBytes      = 512     // bytes reserved for an idempotency key, besides its result
	maxHealthChecks    = 64      // deep health checks in progress at a time
)

// Bounds of single values.
const (
	tableFullRetryAfter           = 500 * time.Millisecond // Retry-After while a table is full
	maxReadDelay                  = time.Hour              // longer read delays count as this
	selfTestTimeout               = 5 * time.Second        // a self-test that takes longer counts as failed
	maxGaugeAge                   = 200 * time.Millisecond // older gauges are not passed to the controller
	runtimeAgeTolerance           = 100 * time.Millisecond // the runtime rounds its age to milliseconds
	defaultControllerTickInterval = 20 * time.Millisecond  // between ticks if the controller requests none
	expiredKeyRetention           = 2 * time.Second        // an expired key remains this long, for requests that are read late
	sweepInterval                 = 500 * time.Millisecond // between two sweeps of keys and health checks
	stallThreshold                = 60 * time.Millisecond  // the machine counts as stalled after this long without any event
	maxControllerTickDelay        = 105 * time.Millisecond // by which a tick is deferred at most while the machine is stalled
	quietInterval                 = 200 * time.Millisecond // without arrivals after which the listener of a draining instance may close
	listenerCloseMargin           = 300 * time.Millisecond // the listener closes this long before the stop deadline
	listenerCloseLinger           = 100 * time.Millisecond // requests that were in transit when the listener closed are served this long
	lastAnswerMargin              = 60 * time.Millisecond  // all requests are answered this long before the stop deadline
	exitMargin                    = 25 * time.Millisecond  // the process exits this long before the stop deadline at the latest
)

const (
	noAdvertisedLoad     = -1.0 // nothing is advertised
	noTenant             = -1   // tenant index of a request without a tenant
	firstSettingsVersion = 1    // version of the settings that the instance starts with
)
