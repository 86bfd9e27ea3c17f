package node

import "time"

// Bounds of the tables, in bytes and entries.
const (
	requestBytes    = 8 << 10 // bytes reserved for a request in flight, with its body and its call's
	keyEntryBytes   = 512     // bytes reserved for an idempotency key, besides its result
	maxHealthChecks = 64      // deep health checks in progress at a time
)

// Bounds of single values.
const (
	fullRetryAfter                = 500 * time.Millisecond // Retry-After where a table is full
	maxReadDelay                  = time.Hour              // read delays are cut to this
	selfTestTimeout               = 5 * time.Second        // a self-test that takes longer counts as failed
	maxGaugeAge                   = 200 * time.Millisecond // older gauges are not passed on
	runtimeAgeTolerance           = 100 * time.Millisecond // the runtime rounds its age to milliseconds
	defaultControllerTickInterval = 20 * time.Millisecond  // to the next tick where the controller asks for none
	keyLinger                     = 2 * time.Second        // an expired key stays this long, for requests that are read late
	sweepInterval                 = 500 * time.Millisecond // between two sweeps of keys and health checks
	stallThreshold                = 60 * time.Millisecond  // the machine counts as stalled after this long without any event
	maxControllerTickDelay        = 105 * time.Millisecond // how much later a tick may come while the machine is stalled
	quietInterval                 = 200 * time.Millisecond // nothing may have arrived for this long before an early exit
	listenerCloseMargin           = 300 * time.Millisecond // the listener closes this long before the stop deadline
	listenerCloseLinger           = 100 * time.Millisecond // requests that crossed the listener's close are served this long
	lastAnswerMargin              = 60 * time.Millisecond  // all requests are answered this long before the stop deadline
	exitMargin                    = 25 * time.Millisecond  // the process exits this long before the stop deadline at the latest
)

const (
	noAdvertisedValue    = -1.0 // nothing is advertised
	noTenant             = -1   // tenant index of a request without a tenant
	firstSettingsVersion = 1    // version of the settings that the instance starts with
)
